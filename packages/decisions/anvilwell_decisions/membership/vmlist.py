"""Merges the platform's VM list, which lags, with the membership."""

import itertools

import xxhash

from anvilwell_kernel.messages import membership as messages

READERS_PER_DOMAIN = 2
READ_PERIOD_S = 1.0
# A reading is ignored if more VMs are newly missing than the larger of this
# share of the listed ones and this count.
GONE_SHARE_LIMIT = 0.5
GONE_COUNT_LIMIT = 3


class VmListMerge:
    """Derives from successive readings which members are leaving.

    A VM listed as leaving is leaving. A VM that was listed before and no
    longer is also counts as leaving, not as dead: only missing heartbeats
    make a member dead. A VM that was never listed may be new, as the list
    lags. A reading in which most listed VMs disappear at once is ignored.
    """

    def __init__(self):
        self._listed = frozenset()
        self._gone = frozenset()
        self.distrusted = 0

    def observe(self, vms_by_id):
        """Process one reading and return the ids that are leaving."""
        now_listed = frozenset(vms_by_id)
        gone = (self._listed | self._gone) - now_listed
        newly_gone = gone - self._gone
        limit = max(GONE_COUNT_LIMIT, len(self._listed) * GONE_SHARE_LIMIT)
        if len(newly_gone) > limit:
            self.distrusted += 1
            return frozenset()
        self._listed = now_listed
        self._gone = gone
        leaving = (v for v, vm in vms_by_id.items() if vm.state == "leaving")
        return gone.union(leaving)

    def forget(self, vm_id):
        """Remove a dead member whose record has expired."""
        self._gone -= {vm_id}


def reads_list(me, members):
    """Return whether `me` is one of its failure domain's list readers.

    There are few readers, so the load on the list doesn't grow with the
    number of VMs. Daemons with the same members choose the same readers.
    """
    candidates = (
        member.vm_id
        for member in members
        if member.failure_domain == me.failure_domain
        and member.state is messages.State.LIVE
    )
    ranked = sorted(candidates, key=_rank)
    return me.vm_id in itertools.islice(ranked, READERS_PER_DOMAIN)


def _rank(vm_id):
    return xxhash.xxh64_intdigest(vm_id.encode())
