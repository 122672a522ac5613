"""Assigns the replicas of a service evenly to the entries.

All entries with the same lists of entries and replicas compute the same
assignment, so that no messages are needed. Lists that differ for a while only
make the shares less even.
"""

import collections
import heapq
import typing

import xxhash

from anvilwell_decisions.traffic import regions as all_regions

# Number of replicas that are assigned to each entry: one to use, and one in
# another failure domain in case that the first is busy, failing or gone.
REPLICAS_PER_ENTRY = 2


class AssignableReplica(typing.NamedTuple):
    """A replica to assign; its share of the entries grows with its slots."""

    replica_id: str
    failure_domain: str
    slots: int


def assign(domains_by_entry, replicas, regions):
    """Return the replicas that each entry should use, the preferred one first.

    Each replica is assigned first to entries of its own failure domain, then
    to those of its region, then to any, up to its share of all entries. The
    replicas of one entry are in different failure domains where possible.

    Parameters
    ----------
    domains_by_entry : dict of str to str
        Failure domain of each entry.
    replicas : iterable of AssignableReplica
        The replicas of the service.
    regions : regions.Regions
        Says how far failure domains are apart.

    Returns
    -------
    dict of str to list of str
    """
    shares = _RemainingShares(replicas, len(domains_by_entry))
    entries = sorted(domains_by_entry, key=_order)
    assigned_by_entry = {entry: [] for entry in entries}
    rounds = min(REPLICAS_PER_ENTRY, len(shares.domains_by_id))
    for wanted in range(1, rounds + 1):
        shares.start_round()
        for distance in all_regions.Distance:
            for entry in entries:
                assigned = assigned_by_entry[entry]
                if len(assigned) < wanted:
                    near = [
                        domain
                        for domain in shares.domains
                        if regions.distance_between(
                            domains_by_entry[entry], domain
                        )
                        <= distance
                    ]
                    assigned += shares.take(near, assigned)
        for assigned in assigned_by_entry.values():
            if len(assigned) < wanted:
                assigned += shares.take_any(assigned)
    return assigned_by_entry


class _RemainingShares:
    """The replicas to assign, with what is left of the share of each."""

    def __init__(self, replicas, entry_count):
        replicas = list(replicas)
        slots = sum(max(1, replica.slots) for replica in replicas)
        self.domains_by_id = {
            replica.replica_id: replica.failure_domain for replica in replicas
        }
        self.domains = sorted(set(self.domains_by_id.values()))
        self._share_by_id = {
            replica.replica_id: entry_count * max(1, replica.slots) / slots
            for replica in replicas
        }
        # Heaps of the replicas of each failure domain; the one with the most
        # left comes first.
        self._heaps_by_domain = collections.defaultdict(list)
        for replica_id, domain in self.domains_by_id.items():
            self._heaps_by_domain[domain].append((0.0, replica_id))

    def start_round(self):
        """Add the share of one round to each replica."""
        for heap in self._heaps_by_domain.values():
            heap[:] = [
                (negative_left - self._share_by_id[replica_id], replica_id)
                for negative_left, replica_id in heap
            ]
            heapq.heapify(heap)

    def take(self, domains, assigned):
        """Return a replica with some share left, as a list of at most one.

        It is in one of `domains`, and in none of the replicas in `assigned`.
        """
        used = {self.domains_by_id[replica_id] for replica_id in assigned}
        tops = [
            (*self._heaps_by_domain[domain][0], domain)
            for domain in domains
            if domain not in used
        ]
        negative_left, replica_id, domain = min(tops, default=(0.0, "", ""))
        if negative_left >= 0.0:
            return []
        heapq.heapreplace(
            self._heaps_by_domain[domain], (negative_left + 1.0, replica_id)
        )
        return [replica_id]

    def take_any(self, assigned):
        """Return a replica that is not in `assigned`, whatever is left of it.

        Replicas in other failure domains than those in `assigned` come first.
        """
        used = {self.domains_by_id[replica_id] for replica_id in assigned}
        others = [
            (domain in used, negative_left, replica_id, domain)
            for domain, heap in self._heaps_by_domain.items()
            for negative_left, replica_id in heap
            if replica_id not in assigned
        ]
        _, negative_left, replica_id, domain = min(others)
        heap = self._heaps_by_domain[domain]
        heap.remove((negative_left, replica_id))
        heapq.heapify(heap)
        heapq.heappush(heap, (negative_left + 1.0, replica_id))
        return [replica_id]


def _order(entry):
    return xxhash.xxh3_64_intdigest(entry.encode()), entry
