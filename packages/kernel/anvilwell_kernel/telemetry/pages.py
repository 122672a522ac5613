"""The HTTP pages for metrics, liveness and readiness."""

import werkzeug

from anvilwell_kernel.telemetry import provider
from anvilwell_kernel import web


class Pages:
    """Serves ``/metrics``, ``/healthz`` and ``/readyz`` for a process.

    Parameters
    ----------
    kernel : services.Kernel
        Reports which services are not ready.
    """

    def __init__(self, kernel):
        self._kernel = kernel

    def add_to(self, server):
        """Serve the pages on `server`, also during the drain."""
        provider.start()
        for rule, handler in (
            ("/metrics", self._metrics),
            ("/healthz", self._health),
            ("/readyz", self._readiness),
        ):
            server.route(rule, handler, while_draining=True)

    def _metrics(self, request):
        return werkzeug.Response(
            provider.page(), content_type=provider.CONTENT_TYPE
        )

    def _health(self, request):
        return web.json_response({"alive": True})

    def _readiness(self, request):
        unready = self._kernel.unready()
        draining = self._kernel.is_draining
        ready = not unready and not draining
        body = {"ready": ready, "draining": draining, "unready": unready}
        return web.json_response(body, 200 if ready else 503)
