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
    """Start up to `items` items; return the replicas that took them."""
    item = dispatches.WaitingItem((0,), "b", "i", "g", "lm", "m", 1)
    replica_ids = []
    for _ in range(items):
        replica_id = dispatch.choose_replica(item, now)
        if replica_id is not None:
            dispatch.worker(replica_id).running += 1
            replica_ids.append(replica_id)
    return replica_ids


@pytest.mark.parametrize("replicas", [10, 300, 1000])
def test_all_free_slots_are_found(replicas):
    dispatch = _dispatch(replicas)

    assert len(_start(dispatch, SLOTS * replicas + 5)) == SLOTS * replicas


@pytest.mark.parametrize("replicas", [300, 3000])
def test_a_step_is_spread_with_few_checks_per_item(monkeypatch, replicas):
    """Ten times the first items, 264, of three trainers at 30 machines."""
    checks = []
    can_start = workers.can_start
    monkeypatch.setattr(
        workers,
        "can_start",
        lambda *args: checks.append(1) or can_start(*args),
    )
    dispatch = _dispatch(replicas)
    items = SLOTS * 300

    replica_ids = _start(dispatch, items)

    assert len(replica_ids) == items
    assert max(map(replica_ids.count, set(replica_ids))) <= SLOTS
    assert len(checks) < 5 * shortlists.SHORTLIST_SIZE * items


def test_full_replicas_are_checked_only_once(monkeypatch):
    dispatch = _dispatch(300)
    _start(dispatch, SLOTS * 300)
    checks = []
    monkeypatch.setattr(
        workers, "can_start", lambda *args: checks.append(1) and False
    )

    assert not _start(dispatch, 1000, NOW + 1.0)
    assert len(checks) <= 300


def test_a_slot_that_becomes_free_is_found():
    dispatch = _dispatch(300)
    _start(dispatch, SLOTS * 300)
    assert not _start(dispatch, 1)

    dispatch.worker("r7").running -= 1
    dispatch.set_runs([], {}, NOW)

    assert _start(dispatch, 1) == ["r7"]
