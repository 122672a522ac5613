"""Bursts of texts that want scores, beside live calls."""

from anvilwell_decisions.batches import scoring
from anvilwell_decisions.traffic import facts

ROUTE = facts.Route(
    "r",
    "h",
    "/",
    (facts.Weighted("app", 1.0),),
    timeout_s=2.0,
    target_latency_s=0.2,
)
SLOTS = 18


def _pacer():
    pacer = scoring.Pacer()
    pacer.set_slots(SLOTS)
    return pacer


def _fill(pacer, now):
    """Start all calls that may start; return how many run then."""
    while pacer.has_room(now):
        pacer.running += 1
    return pacer.running


def test_a_burst_takes_no_more_than_half_of_the_slots():
    assert _fill(_pacer(), 0.0) == SLOTS // 2


def test_a_service_that_loses_replicas_gets_fewer_calls_at_once():
    pacer = _pacer()

    pacer.set_slots(SLOTS // 3)
    assert _fill(pacer, 0.0) == SLOTS // 6
    pacer.running = 0
    pacer.set_slots(SLOTS)

    assert _fill(pacer, 0.0) == SLOTS // 2


def test_refusals_halve_the_calls_down_to_one_and_pause_them():
    pacer = _pacer()

    pacer.refused(0.0)
    assert not pacer.has_room(scoring.PAUSE_S / 2)
    assert _fill(pacer, scoring.PAUSE_S) == SLOTS // 4
    for _ in range(9):
        pacer.refused(0.0)
    pacer.running = 0

    assert _fill(pacer, scoring.PAUSE_S) == 1


def test_answers_bring_the_calls_back_up():
    pacer = _pacer()
    pacer.refused(0.0)
    pacer.refused(0.0)

    for _ in range(100):
        pacer.answered(0.08)

    assert _fill(pacer, 1.0) == SLOTS // 2


def test_two_entries_that_are_refused_leave_room_for_live_calls():
    pacers = [_pacer(), _pacer()]
    room = SLOTS - 2
    for step in range(400):
        now = step * scoring.PAUSE_S
        for pacer in pacers:
            pacer.running = 0
            wanted = _fill(pacer, now)
            if sum(one.running for one in pacers) > room:
                pacer.refused(now)
            else:
                for _ in range(wanted):
                    pacer.answered(0.08)

    assert sum(one.running for one in pacers) <= SLOTS


def test_the_limit_follows_the_slowest_call_that_was_seen():
    pacer = _pacer()
    assert pacer.limit_s(ROUTE) == 0.4

    pacer.answered(0.25)
    assert pacer.limit_s(ROUTE) == 0.75
    pacer.answered(1.5)
    assert pacer.limit_s(ROUTE) == ROUTE.timeout_s
    for _ in range(scoring.TIMES_KEPT):
        pacer.answered(0.05)

    assert pacer.limit_s(ROUTE) == 0.4


def test_rounds_without_a_score_wait_longer_each_time():
    pauses = [scoring.pause_s(rounds) for rounds in range(1, 7)]

    assert pauses == [0.1, 0.2, 0.4, 0.8, 1.0, 1.0]
