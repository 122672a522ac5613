"""Tests that a service has one home, or several for different models."""

import types

from anvilwell_decisions.traffic import facts
from anvilwell_gateway.batches import homes as all_homes
from anvilwell_gateway.batches import records
from anvilwell_gateway import live_keys
import pytest

MODELS = ("m0", "m1", "m2")
VERSIONS = tuple(facts.ModelVersion(model, 1) for model in MODELS)


def _homes(replicas, items=176, rules=None):
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
    return all_homes.Homes(cluster_state, directory, owners, rules)


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


def _rules(of_routes=None, of_batch=None):
    """Return rules whose bounds are the sets of VMs that may own batches."""
    return types.SimpleNamespace(
        is_active=True,
        of_routes=lambda service: of_routes,
        of_batch=lambda batch_id, owner: of_batch,
        owners=lambda bounds: set(bounds),
    )


def test_lists_move_the_homes_only_of_the_batches_that_they_limit():
    """Guard against homes that change for batches without a list."""
    common = _homes(3).find("lm", "m0")
    others = {f"vm{n}" for n in range(6)} - {common}
    homes = _homes(3, rules=_rules())
    assert homes.all("lm") == (common,)
    assert homes.find("lm", "m0") == common
    ranked = homes.ranked("lm", "m0", others)
    assert set(ranked) == others
    assert homes.ranked("lm", "m0", others | {common}) == [common, *ranked]
    # With a list on all routes of the service, its slots need no second home.
    homes = _homes(3, rules=_rules(of_routes=others))
    assert homes.all("lm") == (ranked[0],)


def test_the_owner_of_a_batch_with_a_list_shares_the_slots():
    """Guard against two entries that both use all slots of a replica."""
    common = _homes(3).find("lm", "m0")
    (owner, *_) = sorted({f"vm{n}" for n in range(6)} - {common})
    bounds = types.SimpleNamespace(domains=frozenset("a"))
    homes = _homes(3, rules=_rules(of_batch=bounds))
    homes._cluster_state.ended = {"m1-0"}
    claims_by_id = homes._owners.claims_by_id
    for batch_id, incarnation in (("m0-0", "life"), ("m0-1", "earlier")):
        claim = claims_by_id[batch_id]
        claims_by_id[batch_id] = claim._replace(
            owner=claim.owner._replace(vm_id=owner, incarnation=incarnation)
        )
    assert homes.all("lm") == (common, owner)
    assert homes.domains_by_home("lm") == {owner: {"a"}}
    claims_by_id["m1-0"] = claims_by_id.pop("m0-0")
    assert homes.all("lm") == (common,)


def test_routes_over_several_services_have_one_home():
    assert len(_homes(3000, 2000).all("lm,other")) == 1
