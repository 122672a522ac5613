"""The service ``health``: liveness and readiness pages."""

from anvilwell_kernel import services
from anvilwell_kernel import web


class Health(services.Service):
    """Serves ``/healthz`` and ``/readyz`` on the process's servers.

    Parameters
    ----------
    servers : iterable of str
        Names of the web servers to serve them on.
    """

    name = "health"

    def __init__(self, servers):
        self.needs = tuple(servers)
        self._kernel = None

    async def start(self, kernel):
        """Register the pages."""
        self._kernel = kernel
        for name in self.needs:
            server = kernel.get(name)
            server.route("/healthz", self._live)
            server.route("/readyz", self._ready)

    def _live(self, request):
        return web.json_response({"live": True})

    def _ready(self, request):
        unready = self._kernel.unready()
        return web.json_response(
            {"ready": not unready, "unready": unready},
            status=503 if unready else 200,
        )
