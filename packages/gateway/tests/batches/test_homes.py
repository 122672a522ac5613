"""Tests that a service has one home, or several for different models."""

import types

from anvilwell_decisions.traffic import facts
from anvilwell_gateway.batches import homes as all_homes
from anvilwell_gateway.batches import records
from anvilwell_gateway import live_keys
import pytest

MODELS = ("m0", "m1", "m2")
VERSIONS = tuple(facts.ModelVersion(model, 1) for model in MODELS)


def _homes(replicas, items=176):
    cluster_state = types.SimpleNamespace(
        live_by_vm={
            f"vm{n}": live_keys.LiveKeyValue(
                "life", "", "a", 2.0 if n < 6 else 0.5, 100.0
            )
            for n in range(20)
        }
    )
    known = [
        facts.Replica(f"r{n}", "lm", None, "a", 8, versions=VERSIONS)
        for n in range(replicas)
    ]
    directory = types.SimpleNamespace(
        replicas_by_id={replica.replica_id: replica for replica in known}
    )
    owners = types.SimpleNamespace(
        claims_by_id={
            f"{model}-{step}": records.Claim(
                records.Owner("vm", "life", items, "", step, 1, "lm", model),
                1,
            )
            for model in MODELS
            for step in range(9)
        }
    )
    return all_homes.Homes(cluster_state, directory, owners)


@pytest.mark.parametrize(
    ("replicas", "items"), [(0, 176), (24, 176), (24, 2000), (3000, 176)]
)
def test_a_small_service_has_one_home(replicas, items):
    homes = _homes(replicas, items)

    found = {homes.find("lm", model) for model in MODELS}
    assert len(found) == 1
    assert homes.all("lm") == tuple(found)


@pytest.mark.parametrize("replicas", [300, 3000])
def test_models_of_a_large_service_have_separate_homes(replicas):
    homes = _homes(replicas, 2000)

    found = [homes.find("lm", model) for model in MODELS]
    assert len(set(found)) == len(MODELS)
    assert tuple(found) == homes.all("lm")
    assert homes.find("lm", "unknown") == found[0]
    # The first home is also the only home of a smaller service.
    assert found[0] == _homes(3).find("lm", "m0")


def test_homes_are_vms_with_a_large_capacity():
    assert set(_homes(3000, 2000).all("lm")) <= {f"vm{n}" for n in range(6)}


def test_the_loss_of_a_home_moves_the_batches_of_its_models_only():
    homes = _homes(300, 2000)
    first, second, third = homes.all("lm")
    del homes._cluster_state.live_by_vm[third]

    now = homes.all("lm")
    assert now[:2] == (first, second)
    assert now[2] not in (first, second, third)


def test_routes_over_several_services_have_one_home():
    assert len(_homes(3000, 2000).all("lm,other")) == 1
