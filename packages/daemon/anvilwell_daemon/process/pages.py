"""The service ``pages``: metrics, liveness and readiness."""

from anvilwell_kernel import services
from anvilwell_kernel.telemetry import pages


class Pages(services.Service):
    """Adds the pages to the process's web servers.

    Parameters
    ----------
    servers : iterable of str
        Names of the servers.
    """

    name = "pages"

    def __init__(self, servers):
        self.needs = tuple(servers)

    async def start(self, kernel):
        """Register the pages."""
        shared = pages.Pages(kernel)
        for name in self.needs:
            shared.add_to(kernel.get(name))
