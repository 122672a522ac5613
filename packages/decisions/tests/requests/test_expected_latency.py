"""Live calls go where they are expected to end first.

The load: some entries before three replicas of unequal speed, whose
machines are contended for moments.
"""

import random
import statistics

import overload_world as worlds
import pytest

from anvilwell_decisions.requests import expected_latency
from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import routing
from anvilwell_decisions.requests import service_times

UNEVEN = worlds.Load(
    {}, entries=20, paces=(0.7, 0.7, 1.7), is_contended=True, seconds=8.0
)
REPLICAS = ("r0", "r1", "r2")
WORK_S = 0.04


def _mean_s(make_policy, share):
    rates = {"callers": share * UNEVEN.capacity}
    load = UNEVEN._replace(rates_by_organisation=rates)
    times_s = [
        took_s
        for seed in range(4)
        for took_s in worlds.World(
            load, worlds.NoShares, seed, make_policy=make_policy
        )
        .play()
        .times_s
    ]
    return statistics.mean(times_s)


@pytest.mark.parametrize("share", [0.1, 0.2, 0.4])
def test_calls_take_less_where_replicas_differ(share):
    standing_s = _mean_s(routing.LeastOutstanding, share)

    assert _mean_s(expected_latency.LeastExpectedLatency, share) < standing_s


class Alone:
    """One entry that sends one call after another."""

    def __init__(self, works_by_id, contentions_by_id=None):
        self.policy = expected_latency.LeastExpectedLatency(random.Random(1))
        self.works_by_id = works_by_id
        self._contentions_by_id = contentions_by_id or {}
        self.now = 0.0
        for replica_id in works_by_id:
            self.policy.replica_up(facts.ReplicaFacts(replica_id), self.now)

    def send(self, calls):
        """Return to which replica each of the calls went."""
        return [self._send() for _ in range(calls)]

    def _send(self):
        chosen = self.policy.choose(facts.RequestFacts("c"), self.now)
        self.policy.started(chosen, self.now)
        took_s = self.works_by_id[chosen]
        self.now += took_s
        contention = self._contentions_by_id.get(chosen, 1.0)
        self.policy.report(
            facts.LoadReport(chosen, 1, 1, 6, contention), self.now
        )
        self.policy.ended(
            facts.AttemptEnd(chosen, False, took_s, True), self.now
        )
        return chosen


def test_a_replica_that_turns_slow_is_left_and_tried_again():
    alone = Alone(dict.fromkeys(REPLICAS, WORK_S))
    alone.send(100)
    alone.works_by_id["r0"] = 10 * WORK_S

    slow = alone.send(40).count("r0")
    assert slow <= service_times.DEGRADED_ANSWERS

    alone.works_by_id["r0"] = WORK_S
    alone.now += service_times.DEGRADED_TTL_S
    assert "r0" in alone.send(40)


def test_a_moment_of_contention_is_waited_out_elsewhere():
    alone = Alone(dict.fromkeys(REPLICAS, WORK_S))
    alone.send(100)
    alone.policy.report(facts.LoadReport("r0", 0, 0, 6, 2.5), alone.now)

    assert "r0" not in alone.send(5)
    # The moment is over, though nobody said so.
    assert "r0" in alone.send(40)


def test_a_replica_that_lies_about_its_contention_gains_nothing():
    works_by_id = dict.fromkeys(REPLICAS, WORK_S) | {"r0": 3 * WORK_S}
    alone = Alone(works_by_id, {"r0": 0.1})
    alone.send(100)

    assert alone.send(100).count("r0") < 100 / len(REPLICAS)


def test_where_no_contention_is_told_the_least_load_decides():
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
