"""Which places at a service's replicas each of its homes may use.

A service whose batches are more than one VM can run has several homes,
each for some of its models. If each counted all places as its own, replicas
would be filled several times over. So every replica is dealt to one home,
alike at all that know the same homes, and a home whose own places are taken
borrows some of another that has no items waiting. Loans are for moments:
the borrower names again and again what it uses, and what it does not name
is the lender's again.
"""

import collections
import math
import typing

from anvilwell_decisions.duties import rendezvous

# Items that one core runs at once, with some 26 events a second each.
ITEMS_PER_CORE = 1000
# An entry is one thread.
MAX_CORES = 1.0
# Items that a link of one Mbit/s carries: each text comes from a replica,
# goes to the store and is read by its trainer.
ITEMS_PER_MBPS = 12
# A loan that its borrower has not named for so long has ended, in seconds.
# It outlasts four questions that were lost.
LOAN_S = 1.0
# A home lends at most so much of its own places, so that a batch that comes
# to it starts at once on the rest.
LENT_SHARE = 0.5


def item_capacity(cores, link_mbps):
    """Return how many items one VM can run at once.

    Parameters
    ----------
    cores : float
        What it can process.
    link_mbps : float
        What its link carries, in Mbit/s; 0 if that is not known.
    """
    by_link = link_mbps * ITEMS_PER_MBPS if link_mbps else math.inf
    return min(min(cores, MAX_CORES) * ITEMS_PER_CORE, by_link)


def homes_needed(items, home_capacity, models):
    """Return how many homes a service should have.

    Parameters
    ----------
    items : int
        Items that may run at once.
    carried_items : float
        Items that one home can run at once.
    models : int
        Its models: the batches of one are not split.
    """
    if not home_capacity:
        return 1
    return max(1, min(models, math.ceil(items / home_capacity)))


class SlotRequest(typing.NamedTuple):
    """What a borrower tells a lender of a service's places.

    ``using_by_replica`` is how many it uses of the lender's, ``wanted``
    how many more it could use.
    """

    service: str
    borrower: str
    wanted: int
    using_by_replica: dict[str, int]


class _Loan(typing.NamedTuple):
    """Places of replicas, and until when they are lent."""

    counts_by_replica: dict[str, int]
    until: float


class HomeSlots:
    """The places of one service that one home may use.

    Parameters
    ----------
    vm_id : str
        The home's VM.
    """

    def __init__(self, vm_id):
        self._vm_id = vm_id
        self._homes = ()
        self._owners_by_replica = {}
        self._lent_by_borrower = {}
        self._borrowed_by_lender = {}

    @property
    def lenders(self):
        """The other homes, () if there are not several."""
        if len(self._homes) < 2:
            return ()
        return tuple(one for one in self._homes if one != self._vm_id)

    def set_homes(self, homes):
        """Take the service's homes as they are now."""
        if homes == self._homes:
            return
        self._homes = homes
        self._owners_by_replica = {}
        self._lent_by_borrower = {}
        self._borrowed_by_lender = {}

    def owner(self, replica_id):
        """Return the home that a replica is dealt to."""
        owner = self._owners_by_replica.get(replica_id)
        if owner is None:
            owner = rendezvous.choose_vm(
                f"places of {replica_id}", self._homes
            )
            self._owners_by_replica[replica_id] = owner
        return owner

    def limit(self, replica_id, slots, now):
        """Return how many of a replica's slots may be used.

        All, if this VM is the only home, or none: then it has been one, or
        the home of what it runs could not be reached.
        """
        if len(self._homes) < 2 or self._vm_id not in self._homes:
            return slots
        owner = self.owner(replica_id)
        if owner == self._vm_id:
            return slots - self._lent_slots(replica_id, now)
        loan = self._borrowed_by_lender.get(owner)
        if loan is None or loan.until <= now:
            return 0
        return loan.counts_by_replica.get(replica_id, 0)

    def _lent_slots(self, replica_id, now):
        return sum(
            loan.counts_by_replica.get(replica_id, 0)
            for loan in self._lent_by_borrower.values()
            if loan.until > now
        )

    def lend(self, request, slots, free_slots_by_replica, now):
        """Return what is lent from now on, as counts by replica.

        Parameters
        ----------
        ask : Ask
            What the borrower tells.
        slots : int
            All places that are this home's own.
        rooms_by_replica : dict
            Free places of its own replicas; none while its own items wait.
        now : float
            Time, in seconds.
        """
        counts_by_replica = dict(request.using_by_replica)
        earlier_loan = self._lent_by_borrower.pop(
            request.borrower, _Loan({}, now)
        )
        freed_by_replica = collections.Counter(
            earlier_loan.counts_by_replica if earlier_loan.until > now else {}
        )
        freed_by_replica.subtract(counts_by_replica)
        lent = self.lent_count(now) + sum(counts_by_replica.values())
        available = min(request.wanted, int(LENT_SHARE * slots) - lent)
        by_free_slots = sorted(
            free_slots_by_replica.items(), key=lambda one: -one[1]
        )
        for replica_id, free_slots in by_free_slots:
            # The rooms are without what was lent until now.
            count = max(
                0, min(free_slots + freed_by_replica[replica_id], available)
            )
            if count:
                known = counts_by_replica.get(replica_id, 0)
                counts_by_replica[replica_id] = known + count
                available -= count
        self._lent_by_borrower[request.borrower] = _Loan(
            counts_by_replica, now + LOAN_S
        )
        return counts_by_replica

    def lent_count(self, now):
        """Return how many places are lent."""
        return _slot_count(self._lent_by_borrower.values(), now)

    def borrowed_count(self, now):
        """Return how many places are borrowed."""
        return _slot_count(self._borrowed_by_lender.values(), now)

    def record_request(self, lender, using_by_replica, now):
        """Use no more of a lender's than is named, until it answers."""
        self._borrowed_by_lender[lender] = _Loan(
            dict(using_by_replica), now + LOAN_S
        )

    def record_loan(self, lender, counts_by_replica, asked_at):
        """Take a lender's answer to what was asked then."""
        self._borrowed_by_lender[lender] = _Loan(
            counts_by_replica, asked_at + LOAN_S
        )


def _slot_count(loans, now):
    return sum(
        sum(loan.counts_by_replica.values())
        for loan in loans
        if loan.until > now
    )
