"""Tests which replica a live call goes to where there are several regions."""

import collections
import random

from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import near_replicas
from anvilwell_decisions.traffic import regions

DOMAINS = ("a1", "a2", "a3", "b1", "b2", "b3")
REGIONS = regions.Regions("a1", {domain: domain[0] for domain in DOMAINS})
SLOTS = 6
WORK_S = 0.037


class SingleEntry:
    """An entry in failure domain a1, assigned the replicas r-a1 and r-a2."""

    def __init__(self):
        self.idle_by_id = collections.Counter()
        self.now = 0.0
        self.policy = near_replicas.NearReplicas(
            random.Random(1),
            REGIONS,
            lambda replica_id: self.idle_by_id[replica_id],
            lambda: ["r-a1", "r-a2"],
        )
        for domain in DOMAINS:
            self.policy.replica_up(
                facts.ReplicaFacts(f"r-{domain}", domain), self.now
            )

    def choose(self, gap_s=4.0, excluded=(), request_id="c"):
        """Return the replica of a call `gap_s` after the one before."""
        self.now += gap_s
        request = facts.RequestFacts(request_id, excluded=frozenset(excluded))
        return self.policy.choose(request, self.now)

    def answer(self, replica_id, work_s=WORK_S, in_flight=1, contention=1.0):
        """Send a call to a replica and get its answer after `work_s`."""
        self.policy.started(replica_id, self.now)
        self.now += work_s
        report = facts.LoadReport(replica_id, in_flight, 1, SLOTS, contention)
        self.policy.report(report, self.now)
        end = facts.AttemptEnd(replica_id, False, work_s, True)
        self.policy.ended(end, self.now)

    def fail(self, replica_id, took_s=WORK_S):
        """Send a call to a replica that fails it after `took_s`."""
        self.policy.started(replica_id, self.now)
        self.now += took_s
        end = facts.AttemptEnd(replica_id, True, took_s, False)
        self.policy.ended(end, self.now)


def _measured_entry():
    """Return an entry that knows the times and slots of all replicas."""
    entry = SingleEntry()
    for domain in DOMAINS * 10:
        entry.answer(f"r-{domain}")
    return entry


def test_an_idle_connection_of_the_own_region_is_preferred():
    """Guard against opening a connection for almost every rare call."""
    entry = _measured_entry()
    assert entry.choose() == "r-a1"
    entry.idle_by_id["r-b1"] = 1
    assert entry.choose() == "r-a1"
    entry.idle_by_id["r-a3"] = 1
    assert entry.choose() == "r-a3"
    assert entry.choose(excluded={"r-a3"}) == "r-a1"
    assert entry.choose(excluded={"r-a3", "r-a1"}) == "r-a2"


def test_a_busy_replica_is_left_for_the_next_one():
    """Guard against an idle connection that outweighs a full replica."""
    entry = _measured_entry()
    entry.idle_by_id["r-a1"] = 1
    entry.answer("r-a1", in_flight=SLOTS + 2)
    assert entry.choose(1.0) == "r-a2"
    # The report is too old to say that the replica is still busy.
    assert entry.choose(4.0) == "r-a1"


def test_a_busy_replica_that_reports_no_contention_is_left():
    """Guard against ignoring the load of replicas without contention."""
    entry = SingleEntry()
    for domain in DOMAINS * 10:
        entry.answer(f"r-{domain}", contention=None)
    entry.idle_by_id["r-a1"] = 1
    entry.answer("r-a1", in_flight=SLOTS + 2, contention=None)
    assert entry.choose(1.0) == "r-a2"


def test_a_slow_replica_is_left_for_the_next_one():
    """Guard against staying at a near replica that became slow."""
    entry = _measured_entry()
    entry.idle_by_id["r-a1"] = 1
    for _ in range(20):
        entry.answer("r-a1", 10 * WORK_S)
    assert entry.choose(1.0) == "r-a2"


def test_a_failing_replica_is_left_for_the_next_one():
    """Guard against sending all rare calls to a near replica that fails.

    Ejection needs three failures and ends before the next rare call.
    """
    entry = _measured_entry()
    entry.idle_by_id["r-a1"] = 1
    entry.fail("r-a1")
    assert entry.choose() == "r-a2"
    # It is tried again later, and at once if there is no other.
    assert entry.choose(excluded=entry.policy.replica_ids - {"r-a1"}) == "r-a1"
    assert entry.choose(near_replicas.FAILURE_PAUSE_S) == "r-a1"


def test_calls_with_excluded_replicas_count_as_calls():
    """Guard against taking calls that have allowed regions for rare ones."""
    entry = _measured_entry()
    for number in range(near_replicas.RATE_CALLS):
        entry.choose(0.01, excluded={"r-b1"}, request_id=f"c{number}")
    assert not entry.policy.has_rare_calls(entry.now)


def test_frequent_calls_spread_over_replicas_as_these_fill():
    """Guard against filling one near replica while others are idle."""
    entry = _measured_entry()
    for domain in DOMAINS:
        entry.idle_by_id[f"r-{domain}"] = SLOTS
    counts = collections.Counter()
    for _ in range(3 * len(DOMAINS)):
        replica_id = entry.choose(0.001)
        entry.policy.started(replica_id, entry.now)
        counts[replica_id] += 1
    assert not entry.policy.has_rare_calls(entry.now)
    assert counts.keys() >= {"r-a1", "r-a2", "r-a3"}
    assert max(counts.values()) <= SLOTS


def test_calls_go_to_the_other_region_when_the_own_is_lost():
    """Guard against refusing calls as the near replicas are gone."""
    entry = _measured_entry()
    for domain in ("a1", "a2", "a3"):
        entry.policy.replica_down(f"r-{domain}", entry.now)
    assert entry.choose().startswith("r-b")
