"""The daemon's one websocket listener, shared by path."""

import http
import logging

from websockets.asyncio import server

from anvilwell_kernel.messages import codec
from anvilwell_kernel import services

OPEN_TIMEOUT_S = 5.0
CLOSE_TIMEOUT_S = 1.0
HEADROOM_BYTES = 1024

# One line for each link opened and closed would flood the log.
logging.getLogger("websockets").setLevel(logging.WARNING)


class Listener(services.Service):
    """Accepts websockets and hands each to the handler of its path.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        Port; 0 chooses a free one.
    advertised : str, optional
        Where other daemons dial, if not where it listens.
    """

    name = "listener"

    def __init__(self, host, port, *, advertised=""):
        self._host = host
        self._port = port
        self._advertised = advertised
        self._handlers_by_path = {}
        self._server = None

    @classmethod
    def from_config(cls, settings):
        """Return the listener of the daemon with `settings`."""
        advertised = str(settings.daemon.address or "")
        return cls(*settings.listener, advertised=advertised)

    @property
    def address(self):
        """Where other daemons dial, as ``host:port``, once started."""
        if self._advertised:
            return self._advertised
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def mount(self, path, handler):
        """Serve `path` by ``await handler(connection)``.

        The link closes when the handler returns. May be called before
        or after the start; an unknown path is refused with status 404.
        """
        self._handlers_by_path[path] = handler

    async def start(self, kernel):
        """Bind the address and begin to accept."""
        self._server = await server.serve(
            self._handle,
            self._host,
            self._port,
            process_request=self._admit,
            compression=None,
            max_size=codec.MAX_FRAME_BYTES + HEADROOM_BYTES,
            open_timeout=OPEN_TIMEOUT_S,
            close_timeout=CLOSE_TIMEOUT_S,
            server_header=None,
        )

    async def stop(self):
        """Close the listener and every accepted link."""
        if self._server:
            self._server.close()
            await self._server.wait_closed()

    def _admit(self, connection, request):
        if request.path in self._handlers_by_path:
            return None
        return connection.respond(
            http.HTTPStatus.NOT_FOUND, f"nothing at {request.path}\n"
        )

    async def _handle(self, connection):
        await self._handlers_by_path[connection.request.path](connection)
