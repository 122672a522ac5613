"""Port to the platform's list of VMs, which lags behind changes."""

import abc
import typing


class Vm(typing.NamedTuple):
    """A listed VM; ``state`` is ``live`` or ``leaving``."""

    vm_id: str
    address: str
    failure_domain: str
    state: str


class VmList(abc.ABC):
    """Blocking calls to the VM list."""

    @abc.abstractmethod
    def vms(self, *, timeout_s):
        """Return each listed `Vm` by its id."""
