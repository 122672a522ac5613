"""Engines take turns at loading the versions that trainers name."""

from anvilwell_decisions.batches import loading
import pytest


def _simulate(replicas, lag, versions, first=1):
    """Return the number of loads and of able engines for each version.

    A version's step allows versions up to ``lag`` behind it; able engines have
    one of these when the version is named. Engines that wait for their turn
    have loaded before the next version is named.
    """
    versions_loaded = [first] * replicas
    loads, able = [], []
    for wanted in range(first + 1, first + 1 + versions):
        able.append(
            sum(version >= wanted - lag for version in versions_loaded)
        )
        positions = [
            loading.LoadPosition(rank, replicas) for rank in range(replicas)
        ]
        waits = [
            loading.load_delay_s(
                versions_loaded[position.rank], wanted, lag, position
            )
            for position in positions
        ]
        loads.append(sum(wait_s is not None for wait_s in waits))
        versions_loaded = [
            wanted if wait_s is not None else version
            for version, wait_s in zip(versions_loaded, waits, strict=True)
        ]
    return loads, able


@pytest.mark.parametrize("replicas", [4, 5, 6, 19])
def test_each_engine_loads_every_second_version(replicas):
    loads, able = _simulate(replicas, 1, 20)

    assert sum(loads) <= 20 * (replicas + 1) / 2
    # Half of the engines can start a step's items while the others load.
    assert min(able) >= replicas // 2


def test_a_longer_lag_needs_fewer_loads():
    loads, able = _simulate(9, 2, 21)

    assert sum(loads) <= 21 * 9 / 3 + 3
    assert min(able) >= 6


@pytest.mark.parametrize(("replicas", "lag"), [(3, 1), (6, None), (6, 0)])
def test_all_engines_load_each_version_if_they_can_not_take_turns(
    replicas, lag
):
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
    loads, able = _simulate(6, 1, 8, first=7)

    assert loads[0] == 3
    assert min(able[1:]) >= 3


MODELS = ["k", "l", "m", "n"]


def _positions(model, models, engines):
    """Return the `loading.LoadPosition` of each engine that loads a model."""
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
def test_an_engine_loads_as_few_models_as_possible(count, each):
    """Guards against a step that waited two seconds for its first item.

    Every engine loaded all four models, one order at a time. When a trainer
    named two versions within half a second, all engines were too old for its
    step, and most were loading other models' versions.
    """
    engines = _engines(count)

    models_by_engine = {
        engine: sum(
            loading.load_position(engine, model, MODELS, engines) is not None
            for model in MODELS
        )
        for engine in engines
    }
    assert set(models_by_engine.values()) == {each}
    for model in MODELS:
        positions = _positions(model, MODELS, engines)
        assert len(positions) >= min(count, loading.MIN_ENGINES_PER_MODEL)
        ranks = sorted(position.rank for position in positions)
        assert ranks == list(range(len(positions)))


@pytest.mark.parametrize("models", [["m"], ["l", "m"]])
def test_with_two_models_all_engines_load_both(models):
    """Guards against late steps when trainers have unequal loads.

    One trainer had three quarters of the items and half of the engines. Its
    steps were late, and worth fell from 0.581 to 0.393.
    """
    assert len(_positions("m", models, _engines(40))) == 40


def test_an_engine_that_is_not_registered_yet_loads():
    assert (
        loading.load_position("10.0.1.1:80", "m", MODELS, _engines(19))
        is not None
    )


def test_an_engine_skips_versions_of_models_not_assigned_to_it():
    assert loading.load_delay_s(1, 9, 1, None) is None
