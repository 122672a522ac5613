"""Only one agent works on a backend server."""

import errno
import socket

from anvilwell_kernel import exceptions


class BackendLock:
    """Holds a socket that no second agent on this VM can bind.

    The operating system frees it however the process ends. The name is
    in Linux's abstract socket namespace: no file stays behind.

    Parameters
    ----------
    backend : str
        ``host:port`` of the backend server.
    """

    def __init__(self, backend):
        self._backend = backend
        self._socket = None

    def acquire(self):
        """Take the lock.

        Raises
        ------
        exceptions.Conflict
            If another agent holds it.
        """
        name = f"\0anvilwell-agent-{self._backend}"
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            self._socket.bind(name)
        except OSError as error:
            self.release()
            if error.errno != errno.EADDRINUSE:
                raise
            raise exceptions.Conflict(
                f"another agent already serves {self._backend};"
                " stop it or correct [agent] backend"
            ) from error

    def release(self):
        """Free the lock, if it is held."""
        if self._socket:
            self._socket.close()
            self._socket = None
