"""Divides the limit of a replica that may be cold among the entries.

A replica may become cold without notice, and entries learn of it at different
times. So what an entry may send to a replica doesn't depend on whether the
replica counts as cold, except that some entries send nothing to a cold one.
The allowances of all entries that have the same view of each other add up to
at most half of the limit. Entries with two different views, such as two that
each believe to be the owner of the replica, therefore stay within the limit.
A third view can't follow within the same second: an entry that becomes the
owner waits for a second, and an owner whose lease has lapsed stops before its
successor can have lost its own.
"""

import typing

from anvilwell_decisions.batches import slots
from anvilwell_decisions.duties import rendezvous
from anvilwell_decisions.requests import send_windows

# Number of views that may differ within a second.
VIEWS = 2
# How long an entry waits after it has become the owner of a replica, or has
# learned of the other entries, in seconds. Until then, requests of an earlier
# owner count.
WAIT_S = send_windows.WINDOW_S
# How long an owner goes on after its lease may have lapsed, in seconds, as its
# items would stop during an outage of the store. Its successor can lose its
# own lease, and a third owner follow, only later than this.
LAPSED_OWNER_S = 4.0
# Share of the allowances that the entries besides the owner have, if only
# items are sent to the service. They run items only if they were homes before
# or can't reach a home.
NON_HOMES_SHARE = 0.1
# The same if live calls are sent to the service too, which any entry may get.
LIVE_CALLS_SHARE = 0.5


def request_limit(cold_rate, rate_factor, extra_requests):
    """Return how many requests a cold replica may receive in any second."""
    return int(cold_rate * rate_factor + extra_requests)


class Shares(typing.NamedTuple):
    """How the limit of a service's replicas is divided.

    ``owner`` is the allowance of the owner of a replica, ``others`` the sum
    of those of all other entries. ``has_live_calls`` is whether other entries
    may send to a cold replica.
    """

    owner: int
    others: int
    has_live_calls: bool = False

    @classmethod
    def from_limit(cls, limit, has_items, has_live_calls):
        """Divide `limit`, the requests that a replica may get in a second."""
        total = max(1, limit // VIEWS)
        if not has_live_calls:
            others = int(total * NON_HOMES_SHARE)
        elif has_items:
            others = int(total * LIVE_CALLS_SHARE)
        else:
            others = total
        return cls(total - others, others, has_live_calls)


def other_share(vm_id, replica_id, vm_ids, others):
    """Return the allowance of an entry that doesn't own a replica.

    If the allowances of all others, `others`, are fewer than the entries,
    only some of these send to the replica: the same ones in the view of each.

    Parameters
    ----------
    vm_id : str
        The entry.
    replica_id : str
        The replica.
    vm_ids : collection of str
        All live entries, without the replica's owner.
    others : int
        Sum of the allowances.
    """
    count = min(len(vm_ids), others)
    if not count:
        return 0
    ranked = rendezvous.rank_vms(f"send to {replica_id}", vm_ids)
    return others // count if vm_id in ranked[:count] else 0


class Sender(typing.NamedTuple):
    """What an entry knows of itself as a sender to one replica.

    ``owned_since`` is when it became the replica's owner, None if it isn't.
    ``lapsed_s`` is for how long its lease may have lapsed, in seconds, 0 while
    it certainly holds it, and ``known_since`` since when it knows the other
    entries. ``borrowed`` is the number of the replica's slots that the owner
    lends it.
    """

    owned_since: float | None
    lapsed_s: float
    known_since: float
    borrowed: int = 0
    other_share: int = 0

    @property
    def is_in_contact(self):
        """Whether the entry certainly holds its lease."""
        return self.lapsed_s <= 0.0


def allowance(shares, sender, is_cold, now):
    """Return how many requests an entry may send in any window.

    Requests of an earlier sender count until their second is over, so a new
    owner waits. What the owner lends is not deducted.
    """
    if now - sender.known_since < WAIT_S:
        return 0
    if sender.owned_since is not None:
        return _owner_allowance(shares, sender, is_cold, now)
    if is_cold and not (sender.is_in_contact and shares.has_live_calls):
        others = 0
    else:
        others = sender.other_share
    if sender.is_in_contact:
        return others + min(sender.borrowed, shares.owner)
    return others


def _owner_allowance(shares, sender, is_cold, now):
    has_waited = now - sender.owned_since >= WAIT_S
    if has_waited and sender.lapsed_s < LAPSED_OWNER_S:
        return shares.owner
    return 0 if is_cold else 1


class Ownership:
    """Which replicas of a service one VM owns, and since when.

    Parameters
    ----------
    vm_id : str
        The VM.
    """

    def __init__(self, vm_id):
        self._vm_id = vm_id
        self._homes = ()
        self._domains_by_home = {}
        self._changed_at = 0.0
        self._since_by_replica = {}

    def set_homes(self, homes, now, domains_by_home=None):
        """Set the service's homes; return whether they have changed.

        A replica that remains owned keeps the time since when it is. The
        homes are those of `slots.HomeSlots`.
        """
        domains_by_home = domains_by_home or {}
        if homes == self._homes and domains_by_home == self._domains_by_home:
            return False
        self._homes = homes
        self._domains_by_home = domains_by_home
        self._changed_at = now
        self._since_by_replica = {
            replica: since
            for replica, since in self._since_by_replica.items()
            if since is not None and self.owner(*replica) == self._vm_id
        }
        return True

    def owner(self, replica_id, failure_domain=""):
        """Return the VM that owns a replica, None if none is known."""
        return slots.choose_owner(
            replica_id, self._homes, failure_domain, self._domains_by_home
        )

    def owned_since(self, replica_id, failure_domain=""):
        """Return when this VM became a replica's owner, None if it isn't."""
        replica = (replica_id, failure_domain)
        if replica not in self._since_by_replica:
            is_owner = self.owner(*replica) == self._vm_id
            self._since_by_replica[replica] = (
                self._changed_at if is_owner else None
            )
        return self._since_by_replica[replica]

    def forget(self, replica_id, failure_domain=""):
        """Forget a replica that is gone."""
        self._since_by_replica.pop((replica_id, failure_domain), None)
