"""What the platform is told by the holder of a duty, as a port."""

import abc


class UsagePlatform(abc.ABC):
    """Takes the calls of duties.

    Nothing can be read back, and the platform may not check fencing
    numbers: whoever calls has to know that nobody else does.
    """

    @abc.abstractmethod
    async def report_usage(self, report, tenure):
        """Tell how many requests organisations began in one window.

        Parameters
        ----------
        report : usage.Report
            The window and its counts; sent once more, it must be the same.
        tenure : duty_election.Tenure
            The holder. It is checked once the connection is there, right
            before the call is written.

        Raises
        ------
        exceptions.Fenced
            If the duty may be another's now; nothing was sent.
        exceptions.BackendFailed
            If it was not taken, or nobody knows.
        """
