"""The service ``versions``: trainers ask for new weights."""

import asyncio
import typing

import pydantic
import typing_extensions

from anvilwell_daemon.admin import bridge as bridges
from anvilwell_daemon.admin import changes
from anvilwell_kernel import services
from anvilwell_kernel import web

RULE = "/v1/services/<service>/version"


class VersionRequest(typing_extensions.TypedDict):
    """The body: the version that all replicas shall have."""

    version: typing.Annotated[
        str, pydantic.StringConstraints(pattern=r"^[0-9]{1,18}$")
    ]


_BODY = pydantic.TypeAdapter(VersionRequest)


class Versions(services.Service):
    """Turns a trainer's request into a change of the document."""

    name = "versions"
    needs = ("web", "configuration")

    def __init__(self):
        self._bridge = None

    async def start(self, kernel):
        """Register the route."""
        self._bridge = bridges.Bridge(kernel, asyncio.get_running_loop())
        kernel.get("web").route(RULE, self._change, ("PUT",))

    def _change(self, request, service):
        body = web.json_body(request, _BODY)
        configuration = self._bridge.service("configuration")
        work = configuration.propose_version(service, body["version"])
        return changes.answer(self._bridge.wait_for(work))
