"""Reads the platform's VM list on behalf of a failure domain."""

import asyncio

from anvilwell_decisions.membership import vmlist
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import membership as messages
from anvilwell_kernel.telemetry import logs

TIMEOUT_S = 1.0
TURN_PERIOD_S = 10.0

_LOG = logs.get_logger(__name__)


class Listing:
    """Reads the list if it is this daemon's turn, and spreads the news.

    Parameters
    ----------
    membership : service.Membership
        Learns who is leaving, and gains members to meet.
    vm_list : ports.vmlist.VmList
        The list.
    rng : random.Random
        Source of jitter.
    """

    def __init__(self, membership, vm_list, rng):
        self._membership = membership
        self._vm_list = vm_list
        self._rng = rng
        self._merge = vmlist.VmListMerge()

    async def run(self):
        """Read for ever, a second apart, or look whose turn it is."""
        while True:
            if self._is_turn():
                await self._read()
                period_s = vmlist.READ_PERIOD_S
            else:
                period_s = TURN_PERIOD_S
            await asyncio.sleep(period_s * self._rng.uniform(0.8, 1.2))

    def _is_turn(self):
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
        await self._meet_someone(vms_by_id)

    async def _meet_someone(self, vms_by_id):
        """Meet one listed VM that is not known: it may be a lost part."""
        known = self._membership.members_by_id
        dead = messages.State.DEAD
        strangers = sorted(
            vm.address
            for vm_id, vm in vms_by_id.items()
            if ":" in vm.address
            and (vm_id not in known or known[vm_id].state is dead)
        )
        if not strangers:
            return
        address = self._rng.choice(strangers)
        try:
            await self._membership.meet(address)
        except exceptions.AnvilwellError as error:
            _LOG.log("stranger-silent", address=address, cause=error.message)
