"""Routing policies: constraints, exclusion, balance and affinity."""

import collections
import random

import pytest

from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import routing

POLICIES = (
    routing.RoundRobin,
    routing.LeastReported,
    routing.PowerOfTwo,
    routing.PrefixAffinity,
)


def _policy(kind, replicas=6, seed=1):
    policy = kind(random.Random(seed))
    for number in range(replicas):
        policy.replica_up(
            facts.ReplicaFacts(
                f"r{number}",
                f"d{number % 3}",
                frozenset({"7" if number % 2 else "8"}),
                frozenset({"maths"} if number == 5 else ()),
            ),
            0.0,
        )
    return policy


def _request(number=0, **fields):
    return facts.RequestFacts(f"q{number}", **fields)


@pytest.mark.parametrize("kind", POLICIES)
class TestEveryPolicy:
    def test_only_replicas_that_meet_the_constraints(self, kind):
        policy = _policy(kind)
        seen = {
            policy.choose(_request(n, version="7", prefix=str(n)), 0.0)
            for n in range(200)
        }
        assert seen <= {"r1", "r3", "r5"}
        request = _request(version="7", adapter="maths", prefix="p")
        assert policy.choose(request, 0.0) == "r5"
        request = _request(version="8", adapter="maths")
        assert policy.choose(request, 0.0) is None

    def test_excluded_replicas_are_not_chosen(self, kind):
        policy = _policy(kind)
        excluded = frozenset({"r0", "r1", "r2", "r3", "r4"})
        for n in range(50):
            request = _request(n, prefix=str(n), excluded=excluded)
            assert policy.choose(request, 0.0) == "r5"
        request = _request(excluded=excluded | {"r5"})
        assert policy.choose(request, 0.0) is None

    def test_a_replica_that_is_down_gets_nothing(self, kind):
        policy = _policy(kind)
        policy.report(facts.LoadReport("r0", 0), 0.0)
        policy.replica_down("r0", 0.0)
        policy.report(facts.LoadReport("r0", 0), 0.0)
        chosen = [
            policy.choose(_request(n, prefix=str(n)), 0.0) for n in range(100)
        ]
        assert "r0" not in chosen
        assert len(policy) == 5

    def test_new_facts_replace_the_old(self, kind):
        policy = _policy(kind, replicas=1)
        policy.replica_up(
            facts.ReplicaFacts("r0", "d0", frozenset({"9"})), 1.0
        )
        assert policy.choose(_request(version="8", prefix="p"), 1.0) is None
        assert policy.choose(_request(version="9", prefix="p"), 1.0) == "r0"

    def test_without_replicas_nothing_is_chosen(self, kind):
        assert _policy(kind, 0).choose(_request(prefix="p"), 0.0) is None

    def test_random_churn_keeps_the_policy_consistent(self, kind):
        rng = random.Random(5)
        policy = _policy(kind, 0)
        up = set()
        for n in range(1000):
            replica_id = f"r{rng.randrange(20)}"
            if rng.random() < 0.5:
                policy.replica_up(facts.ReplicaFacts(replica_id), n)
                up.add(replica_id)
            else:
                policy.replica_down(replica_id, n)
                up.discard(replica_id)
            chosen = policy.choose(_request(n, prefix=str(n)), n)
            assert chosen in up if up else chosen is None


def test_power_of_two_corrects_late_reports_by_its_own_work():
    policy = _policy(routing.PowerOfTwo, 2)
    policy.report(facts.LoadReport("r0", 10, own=10), 0.0)
    policy.report(facts.LoadReport("r1", 4, own=0), 0.0)
    chosen = collections.Counter(
        policy.choose(_request(n), 0.0) for n in range(200)
    )
    assert chosen["r0"] > chosen["r1"]
    for _ in range(8):
        policy.started("r0", 0.0)
    chosen = collections.Counter(
        policy.choose(_request(n), 0.0) for n in range(200)
    )
    assert chosen["r1"] > chosen["r0"]


def test_affinity_keeps_a_prefix_and_yields_under_load():
    policy = _policy(routing.PrefixAffinity, 12)
    home = policy.choose(_request(prefix="p"), 0.0)
    assert {
        policy.choose(_request(n, prefix="p"), 0.0) for n in range(20)
    } == {home}
    for _ in range(30):
        policy.started(home, 0.0)
    second = policy.choose(_request(prefix="p"), 0.0)
    assert second != home


def test_affinity_moves_few_prefixes_when_a_replica_comes():
    policy = _policy(routing.PrefixAffinity, 12)
    prefixes = [f"p{n}" for n in range(500)]
    before = [policy.choose(_request(prefix=p), 0.0) for p in prefixes]
    policy.replica_up(facts.ReplicaFacts("new"), 0.0)
    after = [policy.choose(_request(prefix=p), 0.0) for p in prefixes]
    moved = [a for b, a in zip(before, after, strict=True) if a != b]
    assert set(moved) == {"new"}
    assert len(moved) < 500 / 4
