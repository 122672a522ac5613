"""Reads the platform's VM list for the whole failure domain."""

import asyncio

from anvilwell_decisions.membership import vmlist
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import membership as messages
from anvilwell_kernel.telemetry import logs

TIMEOUT_S = 1.0
TURN_PERIOD_S = 10.0

_LOG = logs.get_logger(__name__)


class Listing:
    """Reads the list if this daemon is one of its domain's readers.

    Parameters
    ----------
    membership : service.Membership
        Is given the members that are leaving and unknown VMs to meet.
    vm_list : ports.vmlist.VmList
        The platform's list.
    rng : random.Random
        Source of jitter.
    """

    def __init__(self, membership, vm_list, rng):
        self._membership = membership
        self._vm_list = vm_list
        self._rng = rng
        self._merge = vmlist.VmListMerge()

    async def run(self):
        """Read the list every ``READ_PERIOD_S`` (about 1 s) as a reader.

        A daemon that is not a reader checks every ``TURN_PERIOD_S``
        whether it has become one.
        """
        while True:
            if self._is_reader():
                await self._read()
                period_s = vmlist.READ_PERIOD_S
            else:
                period_s = TURN_PERIOD_S
            await asyncio.sleep(period_s * self._rng.uniform(0.8, 1.2))

    def _is_reader(self):
        members = self._membership.members_by_id.values()
        return vmlist.reads_list(self._membership.me, members)

    async def _read(self):
        try:
            vms_by_id = await asyncio.to_thread(
                self._vm_list.vms, timeout_s=TIMEOUT_S
            )
        except exceptions.AnvilwellError as error:
            _LOG.log("list-unread", cause=error.message)
            return
        self._membership.mark_leaving(sorted(self._merge.observe(vms_by_id)))
        await self._meet_unknown(vms_by_id)

    async def _meet_unknown(self, vms_by_id):
        """Meet one listed VM that is unknown or known as dead.

        It may belong to a part of the fleet that was partitioned off.
        """
        known = self._membership.members_by_id
        dead = messages.State.DEAD
        unknown_addresses = sorted(
            vm.address
            for vm_id, vm in vms_by_id.items()
            if ":" in vm.address
            and (vm_id not in known or known[vm_id].state is dead)
        )
        if not unknown_addresses:
            return
        address = self._rng.choice(unknown_addresses)
        try:
            await self._membership.meet(address)
        except exceptions.AnvilwellError as error:
            _LOG.log("stranger-silent", address=address, cause=error.message)
