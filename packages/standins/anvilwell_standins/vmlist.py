"""The platform's list of VMs, which lags."""

import collections
import threading
import time
import typing

from anvilwell_kernel import exceptions
from anvilwell_kernel import web
import pydantic

from anvilwell_standins.base import server

MAX_HISTORY = 10_000


class Vm(typing.NamedTuple):
    """One VM as the list shows it."""

    id: str
    address: str
    failure_domain: str
    state: typing.Literal["live", "leaving"] = "live"


VM = pydantic.TypeAdapter(Vm)


class VmList(server.StandIn):
    """Shows the VMs as they were `lag_s` ago.

    Parameters
    ----------
    vms : iterable of Vm
        The VMs at the start; `PUT /vms/{id}` and ``DELETE`` change them.
    lag_s : float
        Age of what is shown, in seconds; fault ``lag`` sets another.
    """

    name = "vmlist"
    own_faults = ("lag",)

    def __init__(self, vms=(), *, lag_s=0.0, **kwargs):
        super().__init__(**kwargs)
        self._lag_s = lag_s
        self._vms_by_id = {vm.id: vm for vm in vms}
        self._history = collections.deque(
            [(time.monotonic(), self._vms_by_id)], maxlen=MAX_HISTORY
        )
        self._lock = threading.Lock()
        self.immediate_by_kind["lag"] = self._set_lag
        self.route("/vms", self._show)
        self.route("/vms/<vm_id>", self._put, ("PUT",))
        self.route("/vms/<vm_id>", self._delete, ("DELETE",))

    def change(self, vm):
        """Add or change `vm`."""
        self._change({**self._vms_by_id, vm.id: vm})
        self.record.add("vm", **vm._asdict())

    def shown(self):
        """Return the VMs as the list shows them now."""
        until = time.monotonic() - self._lag_s
        with self._lock:
            old = [vms for at, vms in self._history if at <= until]
            first = self._history[0][1]
        return list((old[-1] if old else first).values())

    def _change(self, vms_by_id):
        with self._lock:
            self._vms_by_id = vms_by_id
            self._history.append((time.monotonic(), vms_by_id))

    def _show(self, request):
        return web.json_response(
            {"vms": [vm._asdict() for vm in self.shown()]}
        )

    def _put(self, request, vm_id):
        vm = web.json_body(request, VM)
        if vm.id != vm_id:
            raise exceptions.BadRequest(f"the body is of VM {vm.id!r}")
        self.change(vm)
        return web.json_response(vm._asdict())

    def _delete(self, request, vm_id):
        kept = {k: vm for k, vm in self._vms_by_id.items() if k != vm_id}
        self._change(kept)
        self.record.add("vm gone", id=vm_id)
        return web.json_response({})

    def _set_lag(self, fault):
        self._lag_s = fault.seconds
