"""Port to the platform that receives usage reports."""

import abc


class UsagePlatform(abc.ABC):
    """Sends usage reports to the platform.

    Reports can't be read back, and the platform may not check fencing
    numbers. So the caller has to ensure that it is the only holder.
    """

    @abc.abstractmethod
    async def report_usage(self, report, tenure):
        """Report the number of requests by organisation in one window.

        Parameters
        ----------
        report : usage.Report
            The window and its counts. A window that is reported again must
            have the same counts.
        tenure : duty_election.DutyTenure
            The holder's tenure. It is checked after the connection is
            established, right before the call is written.

        Raises
        ------
        exceptions.Fenced
            If another VM may hold the duty now; nothing was sent.
        exceptions.BackendFailed
            If the report was not accepted, or the outcome is unknown.
        """
