"""Callers that are refused together do not come back together.

The load: a few hundred calls within a few hundredths of a second, on a
service that does 480 a second and holds 90.
"""

import overload_world as worlds
import pytest

from anvilwell_decisions.requests import returning

PULSE = "pulse"


def _answered(make_returns, entries, calls):
    """Return the part of a pulse of calls that is answered."""
    load = worlds.Load({}, entries=entries, seconds=4.0)
    others = {"others": 0.4 * load.capacity}
    world = worlds.World(
        load._replace(rates_by_organisation=others),
        worlds.NoShares,
        make_returns=make_returns,
    )
    world.asked[PULSE] = calls
    for number in range(calls):
        world._later(1.0 + 0.0001 * number, world._arrive, PULSE, 0)
    return world.play().answered[PULSE] / calls


@pytest.mark.parametrize("entries", [1, 3, 20])
@pytest.mark.parametrize("calls", [300, 600])
def test_more_of_a_pulse_is_answered_in_turns(entries, calls):
    standing = _answered(worlds.ConstantWait, entries, calls)

    assert _answered(returning.Returns, entries, calls) > standing


def test_callers_return_one_after_the_other():
    returns = returning.Returns()
    for number in range(100):
        returns.answered(number / 50)
    waits_s = [returns.wait_s(2.0, 60.0) for _ in range(20)]

    assert waits_s[0] == returning.FIRST_S
    assert waits_s == sorted(set(waits_s))
    assert max(waits_s) <= returning.LONGEST_S


def test_a_wait_is_one_that_the_caller_honours():
    returns = returning.Returns()
    waits_s = [returns.wait_s(0.0, 0.9) for _ in range(5)]

    assert max(waits_s) <= returning.HONOURED_SHARE * 0.9


def test_a_lone_refusal_waits_as_long_as_ever():
    returns = returning.Returns()
    returns.wait_s(0.0, 60.0)

    assert returns.wait_s(30.0, 60.0) == returning.FIRST_S
