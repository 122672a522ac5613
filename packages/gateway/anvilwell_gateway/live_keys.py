"""Reads live keys, under which VMs of the gateway register in the store.

A live key is bound to its VM's lease, so it vanishes when the VM is lost.
"""

import typing

import cbor2
import pydantic

from anvilwell_gateway import neighbours
from anvilwell_kernel.config import options
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs

NEWS_PREFIX = "anvilwell/news/"
PREFIX = f"{NEWS_PREFIX}live/"

_LOG = logs.get_logger(__name__)


class LiveKeyValue(typing.NamedTuple):
    """The value of a live key.

    ``peers`` is the address at which the VM answers other VMs. ``capacity``
    is the processing capacity of the VM, in cores, and ``link_mbps`` the
    bandwidth of its link, in Mbit/s, 0 if unknown.
    """

    incarnation: str
    peers: str
    failure_domain: str = ""
    capacity: float = 1.0
    link_mbps: float = 0.0


_LIVE_KEY_VALUE = pydantic.TypeAdapter(LiveKeyValue)


class LiveKeys:
    """The `LiveKeyValue` of each registered VM, in ``by_vm``."""

    def __init__(self):
        self.by_vm = {}

    def load(self, entries_by_key):
        """Replace all values by those read from the store."""
        self.by_vm = read_all(entries_by_key)

    def change(self, change):
        """Apply one change of a live key; return the id of its VM."""
        vm_id = change.key.removeprefix(PREFIX)
        self.by_vm.pop(vm_id, None)
        live = change.value and _read(change.key, change.value)
        if live:
            self.by_vm[vm_id] = live
        return vm_id

    @property
    def incarnations_by_vm(self):
        """The incarnation of each VM, by VM id."""
        return incarnations(self.by_vm)

    @property
    def addresses_by_vm(self):
        """The address at which each VM answers other VMs, by VM id."""
        return {
            vm_id: options.parse_address(live.peers)
            for vm_id, live in self.by_vm.items()
        }

    @property
    def candidates_by_vm(self):
        """A `neighbours.Candidate` for each VM, by VM id."""
        addresses_by_vm = self.addresses_by_vm
        return {
            vm_id: neighbours.Candidate(
                addresses_by_vm[vm_id], live.failure_domain
            )
            for vm_id, live in self.by_vm.items()
        }


def read_all(entries_by_key):
    """Return the readable `LiveKeyValue` of each live key, by VM id."""
    read_by_vm = {
        key.removeprefix(PREFIX): _read(key, entry.value)
        for key, entry in entries_by_key.items()
        if key.startswith(PREFIX)
    }
    return {vm_id: live for vm_id, live in read_by_vm.items() if live}


def incarnations(live_by_vm):
    """Return the incarnation of each VM, by VM id."""
    return {vm_id: live.incarnation for vm_id, live in live_by_vm.items()}


def _read(key, value):
    """Return the `LiveKeyValue` in a live key, None if it is unreadable."""
    try:
        return _LIVE_KEY_VALUE.validate_python(cbor2.loads(value))
    except (cbor2.CBORError, ValueError) as error:
        counters.count_unreadable("live")
        _LOG.log("peer-unreadable", key=key, cause=repr(error))
        return None
