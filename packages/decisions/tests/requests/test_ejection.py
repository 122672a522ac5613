"""Ejection removes failing replicas but never all of them."""

import random

from anvilwell_decisions.requests import ejection
from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import routing

FAILED = 3


def _policy(replicas=6, **settings):
    rng = random.Random(1)
    policy = ejection.OutlierEjection(
        rng,
        routing.PowerOfTwo(rng),
        ejection.EjectionSettings(failures=FAILED, **settings),
    )
    for number in range(replicas):
        policy.replica_up(facts.ReplicaFacts(f"r{number}"), 0.0)
    return policy


def _fail(policy, replica_id, now=0.0, times=FAILED):
    for _ in range(times):
        policy.started(replica_id, now)
        policy.ended(facts.AttemptEnd(replica_id, True, 0.1), now)


def _chosen(policy, now):
    request = facts.RequestFacts("q")
    return {policy.choose(request, now) for _ in range(200)}


def test_repeated_failures_eject_a_replica_for_a_while():
    policy = _policy()
    _fail(policy, "r0")
    assert policy.ejected == ["r0"]
    assert "r0" not in _chosen(policy, 1.0)
    assert "r0" in _chosen(policy, 2.0)


def test_success_resets_the_failure_count():
    policy = _policy()
    _fail(policy, "r0", times=FAILED - 1)
    policy.ended(facts.AttemptEnd("r0", False, 0.1), 0.0)
    _fail(policy, "r0", times=FAILED - 1)
    assert policy.ejected == []


def test_failure_after_readmission_ejects_for_longer():
    policy = _policy()
    _fail(policy, "r0")
    _chosen(policy, 2.0)
    _fail(policy, "r0", 2.0, times=1)
    assert "r0" not in _chosen(policy, 5.9)
    assert "r0" in _chosen(policy, 6.0)


def test_the_set_is_never_emptied():
    policy = _policy()
    for number in range(6):
        _fail(policy, f"r{number}")
    assert len(policy.ejected) == 2
    alone = _policy(1)
    _fail(alone, "r0")
    assert _chosen(alone, 0.0) == {"r0"}


def test_ejected_replica_is_used_if_no_other_is_eligible():
    policy = _policy()
    only = facts.ReplicaFacts("r9", versions=frozenset({"8"}))
    policy.replica_up(only, 0.0)
    _fail(policy, "r9")
    assert policy.ejected == ["r9"]
    request = facts.RequestFacts("q", version="8")
    assert policy.choose(request, 0.0) == "r9"


def test_removed_replica_is_not_readmitted():
    policy = _policy()
    _fail(policy, "r0")
    policy.replica_down("r0", 1.0)
    assert "r0" not in _chosen(policy, 100.0)
