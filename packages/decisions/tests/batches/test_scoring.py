"""Bursts of texts are scored beside live calls to the same service."""

from anvilwell_decisions.batches import scoring
from anvilwell_decisions.traffic import facts

ROUTE = facts.Route(
    "r",
    "h",
    "/",
    (facts.WeightedService("app", 1.0),),
    timeout_s=2.0,
    target_latency_s=0.2,
)
SLOTS = 18


def _limiter():
    limiter = scoring.ScoringLimiter()
    limiter.set_slots(SLOTS)
    return limiter


def _fill(limiter, now):
    """Start all calls that may start; return how many are running then."""
    while limiter.may_start(now):
        limiter.running += 1
    return limiter.running


def test_a_burst_uses_at_most_half_of_the_slots():
    assert _fill(_limiter(), 0.0) == SLOTS // 2


def test_a_service_that_loses_replicas_gets_fewer_calls_at_once():
    limiter = _limiter()

    limiter.set_slots(SLOTS // 3)
    assert _fill(limiter, 0.0) == SLOTS // 6
    limiter.running = 0
    limiter.set_slots(SLOTS)

    assert _fill(limiter, 0.0) == SLOTS // 2


def test_refusals_halve_the_limit_down_to_one_and_pause_calls():
    limiter = _limiter()

    limiter.record_refusal(0.0)
    assert not limiter.may_start(scoring.REFUSED_PAUSE_S / 2)
    assert _fill(limiter, scoring.REFUSED_PAUSE_S) == SLOTS // 4
    for _ in range(9):
        limiter.record_refusal(0.0)
    limiter.running = 0

    assert _fill(limiter, scoring.REFUSED_PAUSE_S) == 1


def test_answered_calls_raise_the_limit_again():
    limiter = _limiter()
    limiter.record_refusal(0.0)
    limiter.record_refusal(0.0)

    for _ in range(100):
        limiter.record_score(0.08)

    assert _fill(limiter, 1.0) == SLOTS // 2


def test_two_refused_entries_leave_slots_for_live_calls():
    limiters = [_limiter(), _limiter()]
    capacity = SLOTS - 2
    for step in range(400):
        now = step * scoring.REFUSED_PAUSE_S
        for limiter in limiters:
            limiter.running = 0
            wanted = _fill(limiter, now)
            if sum(one.running for one in limiters) > capacity:
                limiter.record_refusal(now)
            else:
                for _ in range(wanted):
                    limiter.record_score(0.08)

    assert sum(one.running for one in limiters) <= SLOTS


def test_the_timeout_follows_the_slowest_recent_call():
    limiter = _limiter()
    assert limiter.limit_s(ROUTE) == 0.4

    limiter.record_score(0.25)
    assert limiter.limit_s(ROUTE) == 0.75
    limiter.record_score(1.5)
    assert limiter.limit_s(ROUTE) == ROUTE.timeout_s
    for _ in range(scoring.MAX_TIMES):
        limiter.record_score(0.05)

    assert limiter.limit_s(ROUTE) == 0.4


def test_rounds_without_a_score_wait_longer_each_time():
    pauses = [scoring.retry_delay_s(rounds) for rounds in range(1, 7)]

    assert pauses == [0.1, 0.2, 0.4, 0.8, 1.0, 1.0]
