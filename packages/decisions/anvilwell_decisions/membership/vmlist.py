"""Merges the platform's lagging VM list with what daemons see."""

import itertools

import xxhash

from anvilwell_kernel.messages import membership as messages

READERS_PER_DOMAIN = 2
READ_PERIOD_S = 1.0
GONE_SHARE_LIMIT = 0.5
GONE_COUNT_LIMIT = 3


class VmListMerge:
    """Derives from readings of the list which members are leaving.

    A VM listed as leaving is leaving. A VM that was listed and no
    longer is counts as leaving too, not as dead: only silence makes a
    member dead. A VM never listed may be new, since the list lags. A
    reading in which most listed VMs vanish at once is not believed.
    """

    def __init__(self):
        self._listed = frozenset()
        self._gone = frozenset()
        self.distrusted = 0

    def observe(self, vms_by_id):
        """Take one reading and return the ids that are leaving."""
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
        """Forget a member that was found dead and buried."""
        self._gone -= {vm_id}


def reads_list(me, members):
    """Return whether this daemon is one of its domain's list readers.

    The readers are few, so the list's load does not grow with the
    fleet; all daemons agree on them once they agree on the members.
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
