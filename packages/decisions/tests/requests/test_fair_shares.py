"""An organisation's share does not shrink because another one sends more.

Guards against an overloaded service that serves whoever sends most: with
three organisations that send four times the service's capacity, sixty others
that together send a tenth of it got only 24 to 29% of their calls answered.
"""

import overload_simulation as simulations
import pytest

from anvilwell_decisions.requests import fair_shares
from anvilwell_decisions.requests import priority_weights

LARGE, SMALL = "large", "small"


def _make_workload(large, small=0.1, entries=3, large_count=3, small_count=60):
    """Return a workload; `large` and `small` are shares of the capacity."""
    capacity_per_s = simulations.Workload({}).capacity_per_s
    rates = {
        f"{LARGE}-{i}": large * capacity_per_s / large_count
        for i in range(large_count)
    }
    rates |= {
        f"{SMALL}-{i}": small * capacity_per_s / 60 for i in range(small_count)
    }
    return simulations.Workload(rates, entries=entries)


def _run_workload(workload, make_shares=fair_shares.FairShares):
    return simulations.Simulation(workload, make_shares).run()


@pytest.mark.parametrize("entries", [1, 3, 17])
@pytest.mark.parametrize("large", [1.5, 4.0])
def test_small_organisations_are_answered_beside_large_ones(large, entries):
    finished = _run_workload(_make_workload(large, entries=entries))

    # Each sends a tenth of its fair share, so all should be answered.
    assert finished.share(finished.answered, SMALL) > 0.95


@pytest.mark.parametrize("entries", [1, 3, 17])
def test_shares_cost_no_throughput(entries):
    workload = _make_workload(4.0, entries=entries)
    without = _run_workload(
        workload, simulations.UnlimitedShares
    ).answered.total()

    assert _run_workload(workload).answered.total() > 0.97 * without


def test_large_organisations_get_equal_shares():
    workload = _make_workload(4.0)
    rates = dict(workload.rates_by_organisation)
    rates[f"{LARGE}-0"] *= 3

    finished = _run_workload(workload._replace(rates_by_organisation=rates))

    parts = [finished.answered[f"{LARGE}-{i}"] for i in range(3)]
    assert max(parts) < 1.25 * min(parts)


def test_single_organisation_gets_all_capacity():
    workload = _make_workload(4.0, large_count=1, small_count=0)
    without = _run_workload(
        workload, simulations.UnlimitedShares
    ).answered.total()

    assert _run_workload(workload).answered.total() > 0.97 * without


def test_no_limit_while_capacity_suffices():
    finished = _run_workload(_make_workload(0.5))

    assert not finished.refused
    assert all(fair.limit is None for fair in finished.shares)


def test_one_refusing_replica_is_no_overload():
    fair = fair_shares.FairShares()
    for number in range(20):
        assert fair.begin("a", 0.0)
        fair.refused("r1", 3, 0.01 * number)

    assert fair.limit is None


def test_refusals_long_apart_are_no_overload():
    fair = fair_shares.FairShares()
    fair.begin("a", 0.0)
    fair.refused("r1", 3, 0.0)
    fair.refused("r2", 3, fair_shares.REFUSAL_TTL_S)

    assert fair.limit is None


def test_unused_limit_is_dropped():
    fair = _overloaded(["a", "a", "a", "b"])

    assert not fair.begin("a", 0.1)
    later = 0.1 + fair_shares.LIMIT_TTL_S
    assert not fair.begin("a", later - 0.01)
    assert fair.begin("a", later + fair_shares.LIMIT_TTL_S)
    assert fair.limit is None


def test_organisation_without_calls_in_flight_is_admitted():
    fair = _overloaded(["a", "a", "a", "a"])

    assert fair.begin("b", 0.1)
    assert not fair.begin("b", 0.1)


def test_idle_organisations_are_not_stored():
    fair = _overloaded(["a", "b"])
    for organisation in ("a", "b"):
        fair.end(organisation, True)

    assert fair.total == 0
    assert not fair._in_flight_by_organisation


def _overloaded(organisations):
    """Return the shares of a service that has just become overloaded."""
    fair = fair_shares.FairShares()
    for organisation in organisations:
        fair.begin(organisation, 0.0)
    for replica in ("r1", "r2"):
        fair.refused(replica, 3, 0.0)
    assert fair.limit
    return fair


@pytest.mark.parametrize("entries", [1, 3, 20])
def test_ranks_share_by_weight_and_none_starves(entries):
    capacity_per_s = simulations.Workload({}).capacity_per_s
    weights = {
        name: priority_weights.weight(priority, 0)
        for priority, name in enumerate(("first", "second", "third"))
    }
    workload = simulations.Workload(
        dict.fromkeys(weights, capacity_per_s),
        entries=entries,
        weights_by_organisation=weights,
    )
    finished = simulations.Simulation(workload, fair_shares.FairShares).run()

    first, second, third = (
        finished.answered[name] / finished.sent[name] for name in weights
    )
    assert first > second > third
    of_all = finished.answered.total() / finished.sent.total()
    assert third > priority_weights.MIN_WEIGHT * of_all
