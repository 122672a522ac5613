"""An item is compared with a few replicas, however many there are."""

from anvilwell_decisions.batches import dispatch as dispatches
from anvilwell_decisions.batches import shortlists
from anvilwell_decisions.batches import workers
from anvilwell_decisions.traffic import facts
import pytest

NOW = 100.0
SLOTS = 8


def _dispatch(replicas):
    dispatch = dispatches.Dispatcher()
    dispatch.set_replicas(
        facts.Replica(f"r{n}", "lm", None, "a", SLOTS) for n in range(replicas)
    )
    return dispatch


def _start(dispatch, items, now=NOW):
    """Start so many items; return the replicas that took them."""
    work = dispatches.WaitingItem((0,), "b", "i", "g", "lm", "m", 1)
    taken = []
    for _ in range(items):
        replica_id = dispatch.choose_replica(work, now)
        if replica_id is not None:
            dispatch.worker(replica_id).running += 1
            taken.append(replica_id)
    return taken


@pytest.mark.parametrize("replicas", [10, 300, 1000])
def test_all_places_are_found(replicas):
    dispatch = _dispatch(replicas)

    assert len(_start(dispatch, SLOTS * replicas + 5)) == SLOTS * replicas


@pytest.mark.parametrize("replicas", [300, 3000])
def test_a_step_is_spread_and_costs_little_a_replica(monkeypatch, replicas):
    """The first items of three trainers, 264 at 30 machines, ten times."""
    looks = []
    can_start = workers.can_start
    monkeypatch.setattr(
        workers,
        "can_start",
        lambda *args: looks.append(1) or can_start(*args),
    )
    dispatch = _dispatch(replicas)
    items = SLOTS * 300

    taken = _start(dispatch, items)

    assert len(taken) == items
    assert max(map(taken.count, set(taken))) <= SLOTS
    assert len(looks) < 5 * shortlists.SHORTLIST_SIZE * items


def test_with_no_place_left_nothing_is_looked_at_again(monkeypatch):
    dispatch = _dispatch(300)
    _start(dispatch, SLOTS * 300)
    looks = []
    monkeypatch.setattr(
        workers, "can_start", lambda *args: looks.append(1) and False
    )

    assert not _start(dispatch, 1000, NOW + 1.0)
    assert len(looks) <= 300


def test_a_place_that_becomes_free_is_found():
    dispatch = _dispatch(300)
    _start(dispatch, SLOTS * 300)
    assert not _start(dispatch, 1)

    dispatch.worker("r7").running -= 1
    dispatch.set_runs([], {}, NOW)

    assert _start(dispatch, 1) == ["r7"]
