"""The server for requests from other entries and agents."""

from anvilwell_gateway import aborting
from anvilwell_gateway.http import server as servers
from anvilwell_gateway import store_paths
from anvilwell_kernel.config import options
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# Limit of a request head in bytes: callers' heads are forwarded in one header.
MAX_HEADER_BYTES = 64 << 10

_LOG = logs.get_logger(__name__)


class PeerServer:
    """Passes each peer's request to the handler of its target.

    Parameters
    ----------
    listen : options.Address
        The address to listen on.
    budget : buffers.Budget
        Limits the bytes that are buffered for peers.
    """

    def __init__(self, listen, budget):
        self._listen = listen
        self._handlers_by_target = {}
        self._body_policies_by_target = {}
        self._server = servers.Server(
            listen, self._answer, None, budget, self._body_policy
        )
        self._server.limits = servers.FIRST_LIMITS._replace(
            max_header_bytes=MAX_HEADER_BYTES,
            max_body_bytes=store_paths.MAX_ANSWER_BYTES,
        )
        self._aborter = aborting.RequestAborter(self._server)

    @property
    def address(self):
        """The address at which other VMs reach this server."""
        return options.Address(self._listen.host, self._server.port)

    def handle(self, target, handler, body_policy=None):
        """Answer requests for `target` by ``handler(request, responder)``.

        Parameters
        ----------
        body_policy : servers.BodyPolicy, optional
            How the memory for the bodies of these requests is reserved.
        """
        self._handlers_by_target[target] = handler
        if body_policy:
            self._body_policies_by_target[target] = body_policy

    def _body_policy(self, request):
        return self._body_policies_by_target.get(
            request.path, servers.BodyPolicy()
        )

    async def start(self):
        """Start listening."""
        await self._server.start()

    async def finish(self):
        """Accept no new requests, and answer those that have arrived."""
        await self._server.finish()

    async def abort(self):
        """Answer the requests under way at once.

        These answers don't say whether the request was carried out.
        """
        await self._aborter.abort()

    async def stop(self):
        """Close all connections."""
        await self._server.stop()

    async def _answer(self, request, responder):
        try:
            async with self._aborter.guard():
                await self._handler(request)(request, responder)
        except exceptions.AnvilwellError as error:
            if responder.has_started:
                raise
            _LOG.log(
                "peer-not-answered", path=request.path, cause=error.message
            )
            await responder.send(error.status)

    def _handler(self, request):
        handler = self._handlers_by_target.get(request.path)
        if handler is None:
            raise exceptions.NotFound(
                f"no handler for requests of peers to {request.path}"
            )
        return handler
