"""Callers that are refused together do not come back together.

The load: a few hundred calls within a few hundredths of a second, on a
service that does 480 a second and holds 90.
"""

import overload_world as worlds
import pytest

from anvilwell_decisions.requests import retry_after

PULSE = "pulse"


def _answered(make_schedule, entries, calls):
    """Return the part of a pulse of calls that is answered."""
    load = worlds.Load({}, entries=entries, seconds=4.0)
    others = {"others": 0.4 * load.capacity}
    world = worlds.World(
        load._replace(rates_by_organisation=others),
        worlds.NoShares,
        make_schedule=make_schedule,
    )
    world.asked[PULSE] = calls
    for number in range(calls):
        world._later(1.0 + 0.0001 * number, world._arrive, PULSE, 0)
    return world.play().answered[PULSE] / calls


@pytest.mark.parametrize("entries", [1, 3, 20])
@pytest.mark.parametrize("calls", [300, 600])
def test_more_of_a_pulse_is_answered_in_turns(entries, calls):
    constant = _answered(worlds.ConstantRetryAfter, entries, calls)

    assert _answered(retry_after.RetrySchedule, entries, calls) > constant


def test_callers_return_one_after_the_other():
    schedule = retry_after.RetrySchedule()
    for number in range(100):
        schedule.answered(number / 50)
    waits_s = [schedule.wait_s(2.0, 60.0) for _ in range(20)]

    assert waits_s[0] == retry_after.MIN_WAIT_S
    assert waits_s == sorted(set(waits_s))
    assert max(waits_s) <= retry_after.MAX_WAIT_S


def test_a_wait_is_one_that_the_caller_honours():
    schedule = retry_after.RetrySchedule()
    waits_s = [schedule.wait_s(0.0, 0.9) for _ in range(5)]

    assert max(waits_s) <= retry_after.MAX_SHARE_OF_TIME_LEFT * 0.9


def test_a_lone_refusal_waits_as_long_as_ever():
    schedule = retry_after.RetrySchedule()
    schedule.wait_s(0.0, 60.0)

    assert schedule.wait_s(30.0, 60.0) == retry_after.MIN_WAIT_S
