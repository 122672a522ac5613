"""Tells which silent instances certainly do not serve."""

import asyncio

from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import membership
from anvilwell_kernel.telemetry import logs

PROBE_TIMEOUT_S = 0.1
LIST_TIMEOUT_S = 0.5
LIST_PERIOD_S = 10.0

_LOG = logs.get_logger(__name__)


class Absence:
    """Looks at a member's address and at the platform's VM list.

    A refused connection means that the process is gone: it keeps its
    listener until after it has stopped serving. A VM that this process
    has once seen listed and is no longer listed is gone too, if it is
    also dead to membership. Silence alone proves nothing.

    Parameters
    ----------
    membership : membership.Membership
        Who is thought to be dead.
    vm_list : ports.vmlist.VmList, optional
        The platform's list.
    clock : clock.Clock
        Limits how often the list is read.
    """

    def __init__(self, members, vm_list, clock):
        self._members = members
        self._vm_list = vm_list
        self._clock = clock
        self._listed = frozenset()
        self._seen = frozenset()
        self._read_at = None

    async def refresh(self):
        """Read the list if the last reading is old."""
        if self._vm_list is None:
            return
        now = self._clock.monotonic()
        if self._read_at is not None and now < self._read_at + LIST_PERIOD_S:
            return
        self._read_at = now
        try:
            vms_by_id = await asyncio.to_thread(
                self._vm_list.vms, timeout_s=LIST_TIMEOUT_S
            )
        except exceptions.AnvilwellError as error:
            _LOG.log("list-unread", cause=error.message)
            return
        self._listed = frozenset(vms_by_id)
        self._seen |= self._listed

    async def is_gone(self, instance):
        """Return whether the instance's VM has left the list."""
        member = self._members.members_by_id.get(instance.vm_id)
        if member is None or member.state is not membership.State.DEAD:
            return False
        await self.refresh()
        return instance.vm_id in self._seen - self._listed


async def refuses(address):
    """Return whether nobody listens at `address` (``host:port``)."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError, ValueError):
        return False
    writer.close()
    return False
