"""Tests that assignments are even, near, and across failure domains."""

import collections
import itertools

from anvilwell_decisions.requests import replica_assignment as assignment
from anvilwell_decisions.traffic import regions
import pytest

DOMAINS = ("a1", "a2", "a3", "b1", "b2", "b3")
REGIONS = regions.Regions("a1", {domain: domain[0] for domain in DOMAINS})
REPLICAS = [
    assignment.AssignableReplica(f"r-{domain}", domain, 6)
    for domain in DOMAINS
]


def _entries(count, domains=DOMAINS):
    return {f"e{n}": domains[n % len(domains)] for n in range(count)}


@pytest.mark.parametrize("count", [3, 23, 850])
def test_each_entry_gets_the_near_replica_and_one_of_another_domain(count):
    """Guard against uneven shares, and against a pair lost together."""
    entries = _entries(count)
    assigned = assignment.assign(entries, reversed(REPLICAS), REGIONS)
    preferred = collections.Counter(first for first, _ in assigned.values())
    assert max(preferred.values()) <= -(-count // len(REPLICAS))
    for entry, (first, second) in assigned.items():
        assert first == f"r-{entries[entry]}"
        assert second != first
    # A few seconds are far, as the near replicas have their shares.
    assert (
        sum(first[2] != second[2] for first, second in assigned.values()) <= 3
    )


def test_shares_are_even_where_entries_are_not():
    """Guard against the replica of a crowded failure domain taking all."""
    assigned = assignment.assign(_entries(24, ("a1", "a2")), REPLICAS, REGIONS)
    preferred = collections.Counter(first for first, _ in assigned.values())
    assert set(preferred.values()) == {4}
    counts = collections.Counter(itertools.chain(*assigned.values()))
    assert min(counts.values()) >= 7
    assert len(counts) == len(REPLICAS)


def test_a_small_second_domain_still_completes_each_pair():
    """Guard against two replicas that are lost together."""
    replicas = [
        assignment.AssignableReplica("r1", "a1", 6),
        assignment.AssignableReplica("r2", "a1", 6),
        assignment.AssignableReplica("r3", "a2", 1),
    ]
    assigned = assignment.assign(_entries(13, ("a1",)), replicas, REGIONS)
    assert all("r3" in pair for pair in assigned.values())


def test_the_loss_of_a_domain_moves_only_its_entries():
    """Guard against reopening connections everywhere after one failure."""
    entries = _entries(24)
    before = assignment.assign(entries, REPLICAS, REGIONS)
    after = assignment.assign(entries, REPLICAS[1:], REGIONS)
    moved = [entry for entry in entries if before[entry][0] != after[entry][0]]
    assert {entries[entry] for entry in moved} == {"a1"}
    assert not assignment.assign(entries, [], REGIONS)["e0"]
    assert assignment.assign(entries, REPLICAS[:1], REGIONS)["e0"] == ["r-a1"]
