"""Tests how items go to replicas that may be cold, in virtual time."""

import heapq

from anvilwell_decisions.batches import dispatch as dispatches
from anvilwell_decisions.batches import paces
from anvilwell_decisions.requests import send_windows
from anvilwell_decisions.traffic import facts
import pytest

ENGINES = 22
SLOTS = 12
ITEMS = 88
EVENTS = 21
# The allowance of an owner at a limit of 21 requests per second.
ALLOWANCE = 8
TICK_S = 0.1


def _dispatcher(engines, allowance, cold_ids=()):
    """Return a dispatcher of engines whose paces differ by a third."""

    def sends_of(replica):
        return send_windows.ReplicaSends(
            send_windows.SendWindow(),
            lambda now: allowance,
            lambda: replica.replica_id in cold_ids,
        )

    dispatcher = dispatches.Dispatcher(allowance and sends_of)
    dispatcher.set_replicas(
        facts.Replica(f"r{number:02}", "lm", None, "a", SLOTS)
        for number in range(engines)
    )
    for number in range(engines):
        pace = dispatcher.worker(f"r{number:02}").pace
        for _ in range(paces.MIN_GAPS):
            pace.record_gap(_pace_s(number), 0.0)
    return dispatcher


def _pace_s(number):
    return 0.036 * (1 + number % 4 / 9)


def _run_step(dispatcher, items):
    """Run items; return when the last one ends and the first replicas."""
    for _ in range(100):
        dispatcher.lengths.observe("", 0, EVENTS)
    waiting = [
        dispatches.WaitingItem((0,), "b", f"i{n}", "g", "lm", "m", 0)
        for n in range(items)
    ]
    running, chosen, now = [], [], 0.0
    while waiting or running:
        while running and running[0][0] <= now:
            _, replica_id = heapq.heappop(running)
            dispatcher.worker(replica_id).running -= 1
        dispatcher.set_runs([], {}, now)
        left = []
        for item in waiting:
            replica_id = dispatcher.choose_replica(item, now)
            if replica_id is None:
                left.append(item)
                continue
            permit = dispatcher.record_assignment(item, replica_id)
            if permit is not None:
                assert permit.use(now)
            ends_at = now + EVENTS * _pace_s(int(replica_id[1:]))
            heapq.heappush(running, (ends_at, replica_id))
            chosen.append(replica_id)
        waiting = left
        now += TICK_S
    return now, chosen


@pytest.mark.parametrize(("engines", "lost_s"), [(22, 0.0), (15, TICK_S)])
def test_a_step_at_warm_engines_is_as_fast_as_without_a_limit(engines, lost_s):
    """Guard against steps held back by a limit that they don't reach.

    With a failure domain lost, a few items go to somewhat slower engines.
    """
    limited, _ = _run_step(_dispatcher(engines, ALLOWANCE), ITEMS)
    unlimited, _ = _run_step(_dispatcher(engines, None), ITEMS)
    assert limited <= unlimited + lost_s + TICK_S / 2


def test_all_models_in_one_second_wait_one_window_at_most():
    """Guard against items that wait although slots may be used."""
    limited, _ = _run_step(_dispatcher(ENGINES, ALLOWANCE), 4 * ITEMS)
    unlimited, _ = _run_step(_dispatcher(ENGINES, None), 4 * ITEMS)
    assert limited <= unlimited + send_windows.WINDOW_S / 2


def test_warm_replicas_of_similar_pace_go_first():
    """Guard against work for cold replicas while warm ones are free."""
    dispatcher = _dispatcher(2, ALLOWANCE, {"r00"})
    _, chosen = _run_step(dispatcher, ALLOWANCE + 3)
    assert set(chosen[:ALLOWANCE]) == {"r01"}
    assert set(chosen[ALLOWANCE:]) == {"r00"}


def test_an_item_waits_for_its_turn_if_that_is_faster():
    """Guard against items at a slow replica that would end earlier later."""
    dispatcher = _dispatcher(2, 1)
    pace = dispatcher.worker("r01").pace
    for _ in range(100 * paces.MIN_GAPS):
        pace.record_gap(1.0, 0.0)
    _, chosen = _run_step(dispatcher, 2)
    assert chosen == ["r00", "r00"]
