"""No organisation gets less than its share because another sends more.

Without shares a service that is short of places answers whoever asks most
often: with three organisations that send four times what the replicas can
do, sixty that send a tenth of it together got 24 to 29% of their calls
answered.
"""

import overload_world as worlds
import pytest

from anvilwell_decisions.requests import fair_shares
from anvilwell_decisions.requests import priority_weights

LARGE, SMALL = "large", "small"


def _load(large, small=0.1, entries=3, larges=3, smalls=60):
    """Return a load in parts of what the replicas can do."""
    capacity = worlds.Load({}).capacity
    rates = {f"{LARGE}-{i}": large * capacity / larges for i in range(larges)}
    rates |= {f"{SMALL}-{i}": small * capacity / 60 for i in range(smalls)}
    return worlds.Load(rates, entries=entries)


def _play(load, make_shares=fair_shares.FairShares):
    return worlds.World(load, make_shares).play()


@pytest.mark.parametrize("entries", [1, 3, 17])
@pytest.mark.parametrize("large", [1.5, 4.0])
def test_small_ones_are_answered_while_large_ones_send_too_much(
    large, entries
):
    played = _play(_load(large, entries=entries))

    # Each asks for a tenth of its share, so all of it is owed.
    assert played.share(played.answered, SMALL) > 0.95


@pytest.mark.parametrize("entries", [1, 3, 17])
def test_shares_cost_no_throughput(entries):
    load = _load(4.0, entries=entries)
    without = _play(load, worlds.NoShares).answered.total()

    assert _play(load).answered.total() > 0.97 * without


def test_large_ones_get_equal_parts():
    load = _load(4.0)
    rates = dict(load.rates_by_organisation)
    rates[f"{LARGE}-0"] *= 3

    played = _play(load._replace(rates_by_organisation=rates))

    parts = [played.answered[f"{LARGE}-{i}"] for i in range(3)]
    assert max(parts) < 1.25 * min(parts)


def test_one_organisation_alone_has_all_places():
    load = _load(4.0, larges=1, smalls=0)
    without = _play(load, worlds.NoShares).answered.total()

    assert _play(load).answered.total() > 0.97 * without


def test_nobody_is_kept_back_where_places_suffice():
    played = _play(_load(0.5))

    assert not played.refused
    assert all(fair.limit is None for fair in played.shares)


def test_a_replica_that_refuses_without_cause_is_no_shortage():
    fair = fair_shares.FairShares()
    for number in range(20):
        assert fair.begin("a", 0.0)
        fair.refused("r1", 3, 0.01 * number)

    assert fair.limit is None


def test_refusals_long_apart_are_no_shortage():
    fair = fair_shares.FairShares()
    fair.begin("a", 0.0)
    fair.refused("r1", 3, 0.0)
    fair.refused("r2", 3, fair_shares.REFUSAL_TTL_S)

    assert fair.limit is None


def test_a_limit_that_keeps_nobody_back_is_dropped():
    fair = _overloaded(["a", "a", "a", "b"])

    assert not fair.begin("a", 0.1)
    later = 0.1 + fair_shares.LIMIT_TTL_S
    assert not fair.begin("a", later - 0.01)
    assert fair.begin("a", later + fair_shares.LIMIT_TTL_S)
    assert fair.limit is None


def test_who_has_nothing_under_way_is_let_in():
    fair = _overloaded(["a", "a", "a", "a"])

    assert fair.begin("b", 0.1)
    assert not fair.begin("b", 0.1)


def test_only_organisations_with_calls_under_way_are_remembered():
    fair = _overloaded(["a", "b"])
    for organisation in ("a", "b"):
        fair.end(organisation, True)

    assert fair.total == 0
    assert not fair._in_flight_by_organisation


def _overloaded(organisations):
    """Return the shares of a service that just became short."""
    fair = fair_shares.FairShares()
    for organisation in organisations:
        fair.begin(organisation, 0.0)
    for replica in ("r1", "r2"):
        fair.refused(replica, 3, 0.0)
    assert fair.limit
    return fair


@pytest.mark.parametrize("entries", [1, 3, 20])
def test_ranks_share_by_weight_and_none_starves(entries):
    capacity = worlds.Load({}).capacity
    weights = {
        name: priority_weights.weight(priority, 0)
        for priority, name in enumerate(("first", "second", "third"))
    }
    load = worlds.Load(
        dict.fromkeys(weights, capacity),
        entries=entries,
        weights_by_organisation=weights,
    )
    played = worlds.World(load, fair_shares.FairShares).play()

    first, second, third = (
        played.answered[name] / played.asked[name] for name in weights
    )
    assert first > second > third
    of_all = played.answered.total() / played.asked.total()
    assert third > priority_weights.MIN_WEIGHT * of_all
