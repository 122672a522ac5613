"""The platform's list of VMs, which lags."""

import abc
import typing


class Vm(typing.NamedTuple):
    """A VM; ``state`` is ``live`` or ``leaving``."""

    vm_id: str
    address: str
    failure_domain: str
    state: str


class VmList(abc.ABC):
    """Reads the list."""

    @abc.abstractmethod
    def vms(self, *, timeout_s):
        """Return the listed VMs as ``vms_by_id``."""
