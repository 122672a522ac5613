"""The service ``health``: metrics, liveness and readiness pages."""

from anvilwell_kernel import services
from anvilwell_kernel.telemetry import pages


class Health(services.Service):
    """Serves the pages on the process's servers, during the drain too.

    Parameters
    ----------
    servers : iterable of str
        Names of the web servers to serve them on.
    """

    name = "health"

    def __init__(self, servers):
        self.needs = tuple(servers)

    async def start(self, kernel):
        """Register the pages."""
        made = pages.Pages(kernel)
        for name in self.needs:
            made.add_to(kernel.get(name))
