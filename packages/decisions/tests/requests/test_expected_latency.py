"""Live calls go to the replica with the least expected latency.

The workload is a number of entries and three replicas of unequal speed, whose
machines are contended for short periods.
"""

import random
import statistics

import overload_simulation as simulations
import pytest

from anvilwell_decisions.requests import expected_latency
from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import routing
from anvilwell_decisions.requests import service_times

UNEVEN = simulations.Workload(
    {},
    entries=20,
    duration_factors=(0.7, 0.7, 1.7),
    is_contended=True,
    seconds=8.0,
)
REPLICAS = ("r0", "r1", "r2")
WORK_S = 0.04


def _mean_duration_s(make_policy, share):
    rates = {"callers": share * UNEVEN.capacity_per_s}
    workload = UNEVEN._replace(rates_by_organisation=rates)
    durations_s = [
        duration_s
        for seed in range(4)
        for duration_s in simulations.Simulation(
            workload,
            simulations.UnlimitedShares,
            seed,
            make_policy=make_policy,
        )
        .run()
        .durations_s
    ]
    return statistics.mean(durations_s)


@pytest.mark.parametrize("share", [0.1, 0.2, 0.4])
def test_mean_latency_is_lower_with_uneven_replicas(share):
    least_load_s = _mean_duration_s(routing.LeastOutstanding, share)

    assert (
        _mean_duration_s(expected_latency.LeastExpectedLatency, share)
        < least_load_s
    )


class SingleEntry:
    """An entry that sends one call after another."""

    def __init__(self, works_by_id, contentions_by_id=None):
        self.policy = expected_latency.LeastExpectedLatency(random.Random(1))
        self.works_by_id = works_by_id
        self._contentions_by_id = contentions_by_id or {}
        self.now = 0.0
        for replica_id in works_by_id:
            self.policy.replica_up(facts.ReplicaFacts(replica_id), self.now)

    def send(self, calls):
        """Send `calls` calls; return the replica of each."""
        return [self._send() for _ in range(calls)]

    def _send(self):
        chosen = self.policy.choose(facts.RequestFacts("c"), self.now)
        self.policy.started(chosen, self.now)
        duration_s = self.works_by_id[chosen]
        self.now += duration_s
        contention = self._contentions_by_id.get(chosen, 1.0)
        self.policy.report(
            facts.LoadReport(chosen, 1, 1, 6, contention), self.now
        )
        self.policy.ended(
            facts.AttemptEnd(chosen, False, duration_s, True), self.now
        )
        return chosen


def test_degraded_replica_is_avoided_and_tried_again():
    entry = SingleEntry(dict.fromkeys(REPLICAS, WORK_S))
    entry.send(100)
    entry.works_by_id["r0"] = 10 * WORK_S

    slow = entry.send(40).count("r0")
    assert slow <= service_times.DEGRADED_ANSWERS

    entry.works_by_id["r0"] = WORK_S
    entry.now += service_times.DEGRADED_TTL_S
    assert "r0" in entry.send(40)


def test_contended_replica_is_avoided_until_its_report_expires():
    entry = SingleEntry(dict.fromkeys(REPLICAS, WORK_S))
    entry.send(100)
    entry.policy.report(facts.LoadReport("r0", 0, 0, 6, 2.5), entry.now)

    assert "r0" not in entry.send(5)
    # The report has expired, without a newer one.
    assert "r0" in entry.send(40)


def test_false_contention_report_attracts_no_calls():
    works_by_id = dict.fromkeys(REPLICAS, WORK_S) | {"r0": 3 * WORK_S}
    entry = SingleEntry(works_by_id, {"r0": 0.1})
    entry.send(100)

    assert entry.send(100).count("r0") < 100 / len(REPLICAS)


def test_without_contention_reports_the_least_load_decides():
    policies = [
        routing.LeastOutstanding(random.Random(7)),
        expected_latency.LeastExpectedLatency(random.Random(7)),
    ]
    rng = random.Random(3)
    for policy in policies:
        for replica_id in REPLICAS:
            policy.replica_up(facts.ReplicaFacts(replica_id), 0.0)
    for step in range(200):
        now = step * WORK_S
        first, second = (
            policy.choose(facts.RequestFacts("c"), now) for policy in policies
        )
        assert first == second
        report = facts.LoadReport(first, rng.randrange(6), 1, 6)
        for policy in policies:
            policy.started(first, now)
            policy.report(report, now)
            policy.ended(
                facts.AttemptEnd(first, False, rng.random(), True), now
            )
