"""Adapter for the VM list, a JSON API over HTTP."""

import pydantic
import typing_extensions

from anvilwell_outside.adapters import http_adapter
from anvilwell_outside.adapters import json_bodies
from anvilwell_outside.adapters import responses
from anvilwell_outside.ports import vmlist


class _VmBody(typing_extensions.TypedDict):
    id: str
    address: str
    failure_domain: str
    state: str


class _VmsBody(typing_extensions.TypedDict):
    vms: list[_VmBody]


_VMS = pydantic.TypeAdapter(_VmsBody)


class HttpVmList(http_adapter.HttpAdapter, vmlist.VmList):
    """Reads the VM list."""

    def vms(self, *, timeout_s):
        """Return each listed `Vm` by its id."""
        response = self._client.call("GET", "/vms", timeout_s=timeout_s)
        responses.check_status(response, "VM list")
        body = json_bodies.decode(_VMS, response.body, "VM list")
        return {
            vm["id"]: vmlist.Vm(
                vm["id"], vm["address"], vm["failure_domain"], vm["state"]
            )
            for vm in body["vms"]
        }
