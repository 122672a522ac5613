"""Serves the metrics page of one process."""

from anvilwell_gateway import aborting
from anvilwell_gateway.http import server as servers
from anvilwell_gateway import measures
from anvilwell_kernel.telemetry import provider

_TYPE = ("Content-Type", provider.CONTENT_TYPE)


class MetricsPage(servers.Server):
    """An HTTP server for the page that a metrics collector scrapes.

    Parameters
    ----------
    section : config.MetricsSection
        The address to listen on, and the path of the page.
    gauge_values : callable
        Returns the current `measures.GaugeValue` list of the process.
    """

    def __init__(self, section, gauge_values):
        super().__init__(section.listen, self._answer)
        self._path = section.path
        self._gauge_values = gauge_values

    async def stop(self):
        """Answer the requests received, and close all connections."""
        await aborting.RequestAborter(self).abort()
        await super().stop()

    async def _answer(self, request, responder):
        if request.path != self._path:
            await responder.send(404)
            return
        measures.set_gauges(self._gauge_values())
        await responder.send(200, (_TYPE,), provider.page())
