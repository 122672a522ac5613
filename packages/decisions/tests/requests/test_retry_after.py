"""Callers that are refused together do not return together.

The workload is a burst of a few hundred calls within some hundredths of a
second, on a service that serves 480 calls per second and holds 90.
"""

import overload_simulation as simulations
import pytest

from anvilwell_decisions.requests import retry_after

BURST = "burst"


def _answered(make_schedule, entries, calls):
    """Return the share of a burst of calls that is answered."""
    workload = simulations.Workload({}, entries=entries, seconds=4.0)
    others = {"others": 0.4 * workload.capacity_per_s}
    simulation = simulations.Simulation(
        workload._replace(rates_by_organisation=others),
        simulations.UnlimitedShares,
        make_schedule=make_schedule,
    )
    simulation.sent[BURST] = calls
    for number in range(calls):
        simulation._schedule_in(
            1.0 + 0.0001 * number, simulation._begin_call, BURST, 0
        )
    return simulation.run().answered[BURST] / calls


@pytest.mark.parametrize("entries", [1, 3, 20])
@pytest.mark.parametrize("calls", [300, 600])
def test_spread_returns_answer_more_of_a_burst(entries, calls):
    constant = _answered(simulations.ConstantRetryAfter, entries, calls)

    assert _answered(retry_after.RetrySchedule, entries, calls) > constant


def test_callers_return_one_after_the_other():
    schedule = retry_after.RetrySchedule()
    for number in range(100):
        schedule.answered(number / 50)
    waits_s = [schedule.wait_s(2.0, 60.0) for _ in range(20)]

    assert waits_s[0] == retry_after.MIN_WAIT_S
    assert waits_s == sorted(set(waits_s))
    assert max(waits_s) <= retry_after.MAX_WAIT_S


def test_wait_is_limited_by_the_time_left():
    schedule = retry_after.RetrySchedule()
    waits_s = [schedule.wait_s(0.0, 0.9) for _ in range(5)]

    assert max(waits_s) <= retry_after.MAX_SHARE_OF_TIME_LEFT * 0.9


def test_single_refusal_gets_the_minimum_wait():
    schedule = retry_after.RetrySchedule()
    schedule.wait_s(0.0, 60.0)

    assert schedule.wait_s(30.0, 60.0) == retry_after.MIN_WAIT_S
