"""Chooses a bounded subset of a service's replicas for one entry."""

import collections
import itertools
import typing

import sortedcontainers
import xxhash


class SubsetSettings(typing.NamedTuple):
    """Settings of `Subset`.

    ``size`` is how many replicas an entry uses. ``local_share`` is the largest
    share of them in the entry's own failure domain, while others can fill the
    rest.
    """

    size: int = 48
    local_share: float = 0.5


class SubsetChange(typing.NamedTuple):
    """The replicas that entered and left the subset."""

    added: tuple
    removed: tuple


class Subset:
    """Chooses replicas by rendezvous hashing, with a quota per failure domain.

    In each failure domain, the replicas with the lowest hash of entry and
    replica are chosen. If a replica is added or removed, the subset changes by
    at most one replica per domain. Entries have different subsets, so that
    their load is spread over all replicas.

    Parameters
    ----------
    entry_id : str
        This entry.
    failure_domain : str
        The failure domain of the entry.
    settings : SubsetSettings, optional
        Size of the subset and share of the local domain.
    """

    def __init__(self, entry_id, failure_domain, settings=None):
        self._entry_id = entry_id
        self._local_domain = failure_domain
        self._settings = settings or SubsetSettings()
        self._facts_by_id = {}
        self._ranked_by_domain = collections.defaultdict(
            sortedcontainers.SortedList
        )
        self._chosen_by_domain = {}

    @property
    def replicas_by_id(self):
        """Facts of the chosen replicas, by id."""
        chosen = itertools.chain(*self._chosen_by_domain.values())
        return {r: self._facts_by_id[r] for r in chosen}

    def has_chosen(self, replica_id):
        """Return whether a replica is in the subset."""
        facts = self._facts_by_id.get(replica_id)
        if facts is None:
            return False
        chosen = self._chosen_by_domain.get(facts.failure_domain, ())
        return replica_id in chosen

    def replica_up(self, facts):
        """Add or update a replica; return the `SubsetChange`."""
        old = self._facts_by_id.get(facts.replica_id)
        if old and old.failure_domain != facts.failure_domain:
            self._unrank(old)
        self._facts_by_id[facts.replica_id] = facts
        rank = self._rank(facts.replica_id)
        ranked = self._ranked_by_domain[facts.failure_domain]
        if rank not in ranked:
            ranked.add(rank)
        return self._choose()

    def replica_down(self, replica_id):
        """Remove a replica; return the `SubsetChange`."""
        facts = self._facts_by_id.get(replica_id)
        if facts is None:
            return SubsetChange((), ())
        self._unrank(facts)
        change = self._choose()
        del self._facts_by_id[replica_id]
        return change

    def _unrank(self, facts):
        ranked = self._ranked_by_domain[facts.failure_domain]
        ranked.remove(self._rank(facts.replica_id))
        if not ranked:
            del self._ranked_by_domain[facts.failure_domain]

    def _rank(self, replica_id):
        name = f"{self._entry_id}\x00{replica_id}".encode()
        return xxhash.xxh3_64_intdigest(name), replica_id

    def _choose(self):
        """Choose the subset again, at a cost that depends on its size only."""
        before = set(itertools.chain(*self._chosen_by_domain.values()))
        quotas = self._quotas_by_domain()
        self._chosen_by_domain = {
            domain: [r for _, r in self._ranked_by_domain[domain][:quota]]
            for domain, quota in quotas.items()
        }
        after = set(itertools.chain(*self._chosen_by_domain.values()))
        added = tuple(sorted(after - before))
        return SubsetChange(added, tuple(sorted(before - after)))

    def _quotas_by_domain(self):
        """Return how many replicas to choose in each failure domain.

        The local domain gets its share, and the others divide the rest evenly.
        What a domain can't fill goes to domains with replicas left.
        """
        counts = {d: len(r) for d, r in self._ranked_by_domain.items()}
        quotas = dict.fromkeys(counts, 0)
        remaining = min(self._settings.size, sum(counts.values()))
        if self._local_domain in counts:
            share = int(self._settings.size * self._settings.local_share)
            quotas[self._local_domain] = min(
                share, counts[self._local_domain], remaining
            )
            remaining -= quotas[self._local_domain]
        remote_domains = sorted(set(counts) - {self._local_domain})
        remaining = _distribute(quotas, counts, remote_domains, remaining)
        _distribute(quotas, counts, sorted(counts), remaining)
        return quotas


def _distribute(quotas, counts, domains, remaining):
    """Raise the domains' `quotas` evenly by `remaining`; return the rest."""
    unfilled = [d for d in domains if quotas[d] < counts[d]]
    while remaining and unfilled:
        per_domain = max(1, remaining // len(unfilled))
        for domain in unfilled:
            added = min(per_domain, counts[domain] - quotas[domain], remaining)
            quotas[domain] += added
            remaining -= added
        unfilled = [d for d in unfilled if quotas[d] < counts[d]]
    return remaining
