"""Decides which slots of a service's replicas each of its homes may use.

A service whose batches exceed the capacity of one VM has several homes, each
for some of its models. If every home used all slots, replicas would be
filled several times over. So every replica is assigned to one home, its owner;
all VMs with the same list of homes compute the same owner. A home whose own
slots are taken borrows slots from a home without waiting items. Loans are
short: the borrower repeatedly reports which borrowed slots it uses, and the
lender may use the others again.
"""

import collections
import math
import typing

from anvilwell_decisions.duties import rendezvous

# Items that one core can run at once; it forwards each event of them.
ITEMS_PER_CORE = 1000
# Largest number of cores that count towards a VM's capacity. An entry runs on
# one thread, so more cores don't help.
MAX_CORES = 1.0
# Number of items whose texts a VM's link can carry for each Mbit/s. Each text
# is received from a replica, written to the store and sent to its trainer.
ITEMS_PER_MBPS = 12
# A loan of slots ends when its borrower hasn't reported for this many seconds.
# It outlasts four lost requests.
LOAN_S = 1.0
# Largest share of its own slots that a home lends, so that a batch that is
# submitted to it can start at once on the rest.
LENT_SHARE = 0.5


def item_capacity(cores, link_mbps):
    """Return how many items one VM can run at once.

    Parameters
    ----------
    cores : float
        Cores that it may use.
    link_mbps : float
        Bandwidth of its link, in Mbit/s; 0 if unknown.
    """
    by_link = link_mbps * ITEMS_PER_MBPS if link_mbps else math.inf
    return min(min(cores, MAX_CORES) * ITEMS_PER_CORE, by_link)


def homes_needed(items, home_capacity, models):
    """Return how many homes a service should have.

    Parameters
    ----------
    items : int
        Items that may run at once.
    home_capacity : float
        Items that one home can run at once.
    models : int
        Number of models; the batches of one model are not split.
    """
    if not home_capacity:
        return 1
    return max(1, min(models, math.ceil(items / home_capacity)))


def choose_owner(replica_id, homes, failure_domain="", domains_by_home=None):
    """Return the home that a replica is assigned to, None without homes.

    Parameters
    ----------
    replica_id, failure_domain : str
        The replica and its failure domain.
    homes : iterable of str
        The VMs of the homes.
    domains_by_home : dict, optional
        The failure domains of the replicas that some homes can use, as a set;
        other homes can use all replicas.
    """
    limits = domains_by_home or {}
    able = [
        home
        for home in homes
        if home not in limits or failure_domain in limits[home]
    ]
    return rendezvous.choose_vm(f"places of {replica_id}", able)


class SlotRequest(typing.NamedTuple):
    """A borrower's request to a lender for slots of one service.

    ``using_by_replica`` is the number of the lender's slots that the borrower
    uses now, ``wanted`` the number of further slots that it could use. These
    must be in ``domains``, None for any failure domain.
    """

    service: str
    borrower: str
    wanted: int
    using_by_replica: dict[str, int]
    domains: frozenset[str] | None = None

    def allows(self, failure_domain):
        """Return whether slots in a failure domain are of use."""
        return self.domains is None or failure_domain in self.domains


class _Loan(typing.NamedTuple):
    """Lent slots by replica, and the time at which the loan ends."""

    counts_by_replica: dict[str, int]
    until: float


class HomeSlots:
    """The slots of one service that one home may use.

    Parameters
    ----------
    vm_id : str
        VM of the home.
    """

    def __init__(self, vm_id):
        self._vm_id = vm_id
        self._homes = ()
        self._domains_by_home = {}
        self._owners_by_replica = {}
        self._lent_by_borrower = {}
        self._borrowed_by_lender = {}
        # The last loan that each lender has confirmed.
        self._confirmed_by_lender = {}

    @property
    def lenders(self):
        """The homes that may lend slots, () if there is only one home."""
        if len(self._homes) < 2:
            return ()
        return tuple(home for home in self._homes if home != self._vm_id)

    def lenders_to_guest(self):
        """Return the homes if this VM is not one of them, else ()."""
        return () if self._vm_id in self._homes else self._homes

    def set_homes(self, homes, domains_by_home=None):
        """Set the service's homes; a change drops all loans.

        Parameters
        ----------
        homes : tuple of str
            The VMs of the homes.
        domains_by_home : dict, optional
            The failure domains of the replicas that some homes can use, as a
            set; other homes can use all replicas.
        """
        domains_by_home = domains_by_home or {}
        if homes == self._homes and domains_by_home == self._domains_by_home:
            return
        self._homes = homes
        self._domains_by_home = domains_by_home
        self._owners_by_replica = {}
        self._lent_by_borrower = {}
        self._borrowed_by_lender = {}
        self._confirmed_by_lender = {}

    def owner(self, replica_id, failure_domain=""):
        """Return the home that a replica is assigned to."""
        owner = self._owners_by_replica.get(replica_id)
        if owner is None:
            owner = choose_owner(
                replica_id, self._homes, failure_domain, self._domains_by_home
            )
            self._owners_by_replica[replica_id] = owner
        return owner

    def limit(self, replica_id, slots, now, failure_domain=""):
        """Return how many of a replica's slots may be used.

        All slots may be used if this VM is the only home or isn't a home. A VM
        that isn't a home runs items only if it was a home before, or could not
        reach the home of these items.
        """
        if len(self._homes) < 2 or self._vm_id not in self._homes:
            return slots
        owner = self.owner(replica_id, failure_domain)
        if owner == self._vm_id:
            return slots - self._lent_slots(replica_id, now)
        return self.borrowed(replica_id, now, failure_domain)

    def borrowed(self, replica_id, now, failure_domain=""):
        """Return how many of a replica's slots its owner lends this home."""
        owner = self.owner(replica_id, failure_domain)
        loan = self._borrowed_by_lender.get(owner)
        return _lent_by(loan, replica_id, now)

    def confirmed(self, replica_id, now, failure_domain=""):
        """Return how many borrowed slots the owner knows to be lent.

        `borrowed` also counts slots that are in use without an answer of the
        owner, which may have ended the loan.
        """
        owner = self.owner(replica_id, failure_domain)
        loan = self._confirmed_by_lender.get(owner)
        return min(
            self.borrowed(replica_id, now, failure_domain),
            _lent_by(loan, replica_id, now),
        )

    def _lent_slots(self, replica_id, now):
        return sum(
            loan.counts_by_replica.get(replica_id, 0)
            for loan in self._lent_by_borrower.values()
            if loan.until > now
        )

    def lend(self, request, slots, free_slots_by_replica, now):
        """Return the number of slots lent to a borrower now, by replica.

        Parameters
        ----------
        request : SlotRequest
            What the borrower requests.
        slots : int
            Number of all slots that this home owns.
        free_slots_by_replica : dict
            Free slots of its own replicas; empty while its own items wait.
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
            free_slots_by_replica.items(), key=lambda pair: -pair[1]
        )
        for replica_id, free_slots in by_free_slots:
            # `free_slots` excludes the slots that were lent to this borrower
            # on its previous request. Add those that it no longer uses.
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
        """Return the number of this home's slots that are lent."""
        return _slot_count(self._lent_by_borrower.values(), now)

    def borrowed_count(self, now):
        """Return the number of slots that are borrowed from other homes."""
        return _slot_count(self._borrowed_by_lender.values(), now)

    def record_request(self, lender, using_by_replica, now):
        """Record that a `SlotRequest` is sent to a lender.

        Until the lender answers, this home may use only the lender's slots
        that the request reports as used.
        """
        self._borrowed_by_lender[lender] = _Loan(
            dict(using_by_replica), now + LOAN_S
        )

    def record_loan(self, lender, counts_by_replica, requested_at):
        """Record the slots lent on a request sent at `requested_at`."""
        loan = _Loan(counts_by_replica, requested_at + LOAN_S)
        self._borrowed_by_lender[lender] = loan
        self._confirmed_by_lender[lender] = loan


def _lent_by(loan, replica_id, now):
    """Return a replica's slots in a `_Loan`, 0 if it has ended or is None."""
    if loan is None or loan.until <= now:
        return 0
    return loan.counts_by_replica.get(replica_id, 0)


def _slot_count(loans, now):
    return sum(
        sum(loan.counts_by_replica.values())
        for loan in loans
        if loan.until > now
    )
