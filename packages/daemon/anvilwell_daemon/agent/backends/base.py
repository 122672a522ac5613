"""What an agent asks of its backend server."""

import abc


class Backend(abc.ABC):
    """One backend server; methods block and run on worker threads."""

    @abc.abstractmethod
    def run(self, start, timeout_s):
        """Yield `outflow.Head`, `Piece` and last one `Finish`.

        Parameters
        ----------
        start : requests.RequestStart
            The request.
        timeout_s : float
            Seconds until its deadline.

        Raises
        ------
        exceptions.AnvilwellError
            With verdict ``NOT_RUN`` only if the backend server never
            got the request.
        """

    @abc.abstractmethod
    def cancel(self, start):
        """Give the request up at the backend server, if it can."""

    def load(self):
        """Return the ``engine.Load`` that it reports, None if none."""
        return None
