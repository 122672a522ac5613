"""The service ``operators``: the operators' HTTP interface."""

import asyncio

from anvilwell_daemon.admin import access
from anvilwell_daemon.admin import bridge as bridges
from anvilwell_daemon.admin import changes
from anvilwell_daemon.admin import explanations
from anvilwell_daemon.admin import fleet
from anvilwell_kernel import services


class Operators(services.Service):
    """Serves the routes under ``/admin`` on the server ``admin``.

    The routes stay open during the drain, so that operators can look.

    Parameters
    ----------
    vm_id : str
        This daemon's VM.
    token : pydantic.SecretStr, optional
        What operators must send; None lets everyone in.
    """

    name = "operators"
    needs = ("admin",)

    def __init__(self, vm_id, token=None):
        self._vm_id = vm_id
        self._access = access.Access(token)

    @classmethod
    def from_config(cls, settings):
        """Return the service for the entry with `settings`."""
        return cls(settings.daemon.vm_id, settings.entry.operator_token)

    async def start(self, kernel):
        """Register the routes."""
        bridge = bridges.Bridge(kernel, asyncio.get_running_loop())
        server = kernel.get("admin")
        for group in (
            changes.Changes(bridge),
            fleet.Fleet(bridge, self._vm_id),
            explanations.Explanations(bridge),
        ):
            for rule, handler, methods in group.routes():
                server.route(
                    rule,
                    self._access.guard(handler),
                    methods,
                    while_draining=True,
                )
