"""Tests that calls follow the replicas and entries that there are."""

import random
import types

from anvilwell_decisions.requests import facts as request_facts
from anvilwell_decisions.traffic import facts
from anvilwell_decisions.traffic import regions
from anvilwell_gateway import directory as directories
from anvilwell_gateway import near_routing


def _fleet(regions_by_domain):
    replicas = [
        facts.Replica(f"r-{domain}", "plain", None, domain, 6)
        for domain in ("a1", "a2", "b1")
    ]
    listeners = []
    return types.SimpleNamespace(
        vm_id="e1",
        failure_domain="a1",
        regions=regions.Regions("a1", regions_by_domain),
        cluster_state=types.SimpleNamespace(
            domains_by_vm={}, listen_entries=listeners.append
        ),
        directory=types.SimpleNamespace(
            listen=listeners.append, usable=lambda service: replicas
        ),
        replicas=replicas,
        listeners=listeners,
    )


def test_calls_move_when_the_near_replica_leaves():
    """Guard against shares that outlive a change of the replicas."""
    fleet = _fleet({"a1": "a", "a2": "a", "b1": "b"})
    pool = types.SimpleNamespace(idle_count=lambda replica_id: 0)
    routing = near_routing.NearRouting.from_config(fleet, pool)
    policy = routing.policy("plain", random.Random(1))
    for replica in fleet.replicas:
        up = request_facts.ReplicaFacts(
            replica.replica_id, replica.failure_domain
        )
        policy.replica_up(up, 0.0)
    assert policy.choose(request_facts.RequestFacts("c"), 1.0) == "r-a1"
    del fleet.replicas[0]
    for listener in fleet.listeners[1:]:
        listener(directories.DirectoryChange(frozenset(["r-a1"]), True))
    policy.replica_down("r-a1", 1.0)
    assert policy._assigned()[0] == "r-a2"
    assert policy.choose(request_facts.RequestFacts("c"), 2.0) == "r-a2"


def test_a_deployment_in_one_region_keeps_its_policy():
    """Guard against a new decision where no setting calls for it."""
    fleet = _fleet({"a1": "a", "a2": "a"})
    assert near_routing.NearRouting.from_config(fleet, None) is None
    assert not fleet.listeners
