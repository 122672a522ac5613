"""Engines take turns with the versions that trainers name."""

from anvilwell_decisions.batches import loading
import pytest


def _play(replicas, lag, versions, first=1):
    """Return the loads of each version, and the least that could serve.

    Each version's step allows versions ``lag`` behind it; engines that
    wait for their turn have loaded before the next version is named.
    """
    had = [first] * replicas
    loads, able = [], []
    for wanted in range(first + 1, first + 1 + versions):
        able.append(sum(version >= wanted - lag for version in had))
        positions = [
            loading.LoadPosition(rank, replicas) for rank in range(replicas)
        ]
        waits = [
            loading.load_delay_s(had[position.rank], wanted, lag, position)
            for position in positions
        ]
        loads.append(sum(wait_s is not None for wait_s in waits))
        had = [
            wanted if wait_s is not None else version
            for version, wait_s in zip(had, waits, strict=True)
        ]
    return loads, able


@pytest.mark.parametrize("replicas", [4, 5, 6, 19])
def test_each_engine_loads_every_second_version(replicas):
    loads, able = _play(replicas, 1, 20)

    assert sum(loads) <= 20 * (replicas + 1) / 2
    # Half of the engines can start a step's items while the others load.
    assert min(able) >= replicas // 2


def test_a_longer_lag_needs_fewer_loads():
    loads, able = _play(9, 2, 21)

    assert sum(loads) <= 21 * 9 / 3 + 3
    assert min(able) >= 6


@pytest.mark.parametrize(("replicas", "lag"), [(3, 1), (6, None), (6, 0)])
def test_all_load_each_version_where_no_turns_can_be_taken(replicas, lag):
    waits = [
        loading.load_delay_s(4, 5, lag, loading.LoadPosition(rank, replicas))
        for rank in range(replicas)
    ]

    assert None not in waits
    assert min(waits) == loading.FIRST_LOAD_DELAY_S
    together = max(waits.count(wait_s) for wait_s in waits)
    assert together <= max(1, int(loading.MAX_LOADING_SHARE * replicas))


def test_an_engine_that_is_too_old_loads_at_once():
    position = loading.LoadPosition(0, 4)

    assert loading.load_delay_s(3, 5, 1, position) == 0.0
    assert loading.load_delay_s(1, 5, 1, position) == 0.0


def test_engines_that_were_replaced_together_take_turns_again():
    loads, able = _play(6, 1, 8, first=7)

    assert loads[0] == 3
    assert min(able[1:]) >= 3


MODELS = ["k", "l", "m", "n"]


def _positions(model, models, engines):
    """Return the `loading.LoadPosition` of each engine that keeps a model."""
    positions = (
        loading.load_position(engine, model, models, engines)
        for engine in engines
    )
    return [position for position in positions if position is not None]


def _engines(count):
    return [f"10.0.0.{number}:80" for number in range(count)]


@pytest.mark.parametrize(
    ("count", "each"), [(3, 4), (4, 4), (6, 3), (8, 2), (15, 2), (40, 2)]
)
def test_an_engine_keeps_as_few_models_as_leaves_each_enough(count, each):
    """A step waited two seconds for its first item.

    Every engine kept all four models, one order at a time: when a trainer
    named two versions within half a second, all were too old for its step,
    and most were loading other models' versions.
    """
    engines = _engines(count)

    kept = {
        engine: sum(
            loading.load_position(engine, model, MODELS, engines) is not None
            for model in MODELS
        )
        for engine in engines
    }
    assert set(kept.values()) == {each}
    for model in MODELS:
        positions = _positions(model, MODELS, engines)
        assert len(positions) >= min(count, loading.MIN_ENGINES_PER_MODEL)
        ranks = sorted(position.rank for position in positions)
        assert ranks == list(range(len(positions)))


@pytest.mark.parametrize("models", [["m"], ["l", "m"]])
def test_with_two_models_all_engines_keep_both(models):
    """One trainer had three quarters of the items, and half of the engines.

    Its steps were late, and worth fell from 0.581 to 0.393.
    """
    assert len(_positions("m", models, _engines(40))) == 40


def test_an_engine_that_is_not_registered_yet_loads():
    assert (
        loading.load_position("10.0.1.1:80", "m", MODELS, _engines(19))
        is not None
    )


def test_an_engine_that_does_not_keep_a_model_skips_its_versions():
    assert loading.load_delay_s(1, 9, 1, None) is None
