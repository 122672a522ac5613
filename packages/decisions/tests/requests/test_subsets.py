"""Subsets are bounded, prefer the local domain and change little."""

import collections
import random

from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import subsets


def _facts(number, domains=13):
    return facts.ReplicaFacts(f"r{number}", f"d{number % domains}")


def _subset(entry="e", near="d0", replicas=0, **settings):
    subset = subsets.Subset(entry, near, subsets.SubsetSettings(**settings))
    for number in range(replicas):
        subset.replica_up(_facts(number))
    return subset


def _domains(subset):
    chosen = subset.replicas_by_id.values()
    return collections.Counter(r.failure_domain for r in chosen)


def test_a_subset_is_bounded_and_near_first_but_not_in_one_domain():
    domains = _domains(_subset(replicas=520, size=48))
    assert domains.total() == 48
    assert domains["d0"] == 24
    assert len(domains) == 13
    assert max(n for d, n in domains.items() if d != "d0") == 2


def test_small_service_is_used_whole():
    assert len(_subset(replicas=6).replicas_by_id) == 6


def test_changes_list_added_and_removed_replicas():
    subset = _subset(size=8)
    seen = set()
    rng = random.Random(2)
    for _ in range(400):
        number = rng.randrange(60)
        if rng.random() < 0.6:
            change = subset.replica_up(_facts(number, 4))
        else:
            change = subset.replica_down(f"r{number}")
        assert not set(change.added) & seen
        assert set(change.removed) <= seen
        seen = (seen | set(change.added)) - set(change.removed)
        assert seen == set(subset.replicas_by_id)
        assert len(seen) <= 8


def test_removing_a_replica_replaces_only_that_one():
    subset = _subset(replicas=520, size=48)
    gone = sorted(subset.replicas_by_id)[:10]
    for replica_id in gone:
        change = subset.replica_down(replica_id)
        assert len(change.added) == 1
        assert change.removed == (replica_id,)


def test_entries_spread_over_the_replicas():
    load = collections.Counter()
    for number in range(100):
        subset = _subset(f"e{number}", f"d{number % 13}", 260, size=26)
        load.update(list(subset.replicas_by_id))
    assert len(load) == 260
    assert max(load.values()) <= 3 * load.total() / 260
