"""Where other VMs of ours ask this entry for help."""

from anvilwell_gateway import aborting
from anvilwell_gateway.http import server as servers
from anvilwell_gateway import store_paths
from anvilwell_kernel.config import options
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

_LOG = logs.get_logger(__name__)


class PeerServer:
    """Answers peers by the part of this entry that each target names.

    Parameters
    ----------
    listen : options.Address
        Where peers connect.
    budget : byte_budget.ByteBudget
        What may be held for peers.
    """

    def __init__(self, listen, budget):
        self._listen = listen
        self._handlers_by_target = {}
        self._server = servers.Server(listen, self._answer, None, budget)
        self._server.limits = servers.FIRST_LIMITS._replace(
            max_body_bytes=store_paths.MAX_ANSWER_BYTES
        )
        self._aborter = aborting.RequestAborter(self._server)

    @property
    def address(self):
        """Where other VMs ask this one."""
        return options.Address(self._listen.host, self._server.port)

    def handle(self, target, handler):
        """Have ``handler(request, responder)`` answer what asks `target`."""
        self._handlers_by_target[target] = handler

    async def start(self):
        """Listen."""
        await self._server.start()

    async def finish(self):
        """Take nothing new, and answer what peers have sent."""
        await self._server.finish()

    async def abort(self):
        """Answer what is under way now, without a promise."""
        await self._aborter.abort()

    async def stop(self):
        """Close everything."""
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
            raise exceptions.NotFound(f"peers do not ask for {request.path}")
        return handler
