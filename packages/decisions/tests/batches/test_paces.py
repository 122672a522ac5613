"""A moment of contention is not a slow replica; seconds of it are one."""

from anvilwell_decisions.batches import paces
from anvilwell_decisions.requests import server_loads
import pytest

USUAL_S = 0.04
RATIO = 2.5
RUNS = 4
# What a machine that others use takes now and then.
MOMENT_S = 0.6


class _Load:
    """Feeds a pace the gaps of some runs that go on side by side."""

    def __init__(self, pace):
        self.pace = pace
        self.now = 100.0

    def go(self, seconds, gap_s, runs=RUNS):
        until = self.now + seconds
        while self.now < until:
            self.now += gap_s / runs
            self.pace.record_gap(gap_s, self.now)

    def tells(self, contention):
        told = server_loads.ServerLoad(RUNS, 0, 8, contention)
        self.pace.record_load(told, self.now)


@pytest.fixture(name="slowdowns")
def _slowdowns():
    return paces.Slowdowns()


@pytest.fixture(name="load")
def _load(slowdowns):
    load = _Load(paces.Pace(slowdowns))
    load.go(3.0, USUAL_S)
    return load


def _moments(load, times):
    for _ in range(times):
        load.go(MOMENT_S, RATIO * USUAL_S)
        load.go(3.0, USUAL_S)


def test_contended_moments_leave_the_usual_pace(load):
    _moments(load, 8)

    assert load.pace.usual_s(load.now) == pytest.approx(USUAL_S)
    assert load.pace.expected_s(100, load.now) == pytest.approx(4.0)


def test_a_contended_moment_costs_what_is_left_of_it(load):
    _moments(load, 8)
    load.go(0.4, RATIO * USUAL_S)

    # Some 0.2 s more, of which three fifths are lost.
    expected_s = load.pace.expected_s(100, load.now)
    assert expected_s == pytest.approx(4.0 + 0.6 * 0.2, abs=0.1)


def test_a_spell_that_outlives_all_moments_is_expected_to_last(load):
    _moments(load, 8)
    load.go(2.0, RATIO * USUAL_S)

    expected_s = load.pace.expected_s(100, load.now)
    assert expected_s == pytest.approx(4.0 + 0.6 * 2.0, abs=0.3)


def test_a_spell_is_judged_by_those_of_other_replicas(load, slowdowns):
    _moments(load, 8)
    other = _Load(paces.Pace(slowdowns))
    other.go(3.0, USUAL_S)
    other.go(0.5, RATIO * USUAL_S)

    expected_s = other.pace.expected_s(100, other.now)
    assert expected_s == pytest.approx(4.0, abs=0.2)


def test_a_spell_that_nobody_sees_is_forgotten_in_as_long(load):
    load.go(2.0, RATIO * USUAL_S)
    left_at = load.now

    assert load.pace.expected_s(100, left_at + 1.0) > 4.5
    assert load.pace.expected_s(100, left_at + 3.0) == pytest.approx(4.0)


def test_what_was_learnt_in_a_spell_is_not_the_usual_pace(slowdowns):
    load = _Load(paces.Pace(slowdowns))
    load.go(0.6, RATIO * USUAL_S)
    load.go(0.6, USUAL_S)

    assert load.pace.usual_s(load.now) == pytest.approx(USUAL_S)


def test_a_pause_of_all_runs_is_no_slow_spell(load):
    load.now += 0.9
    for _ in range(RUNS):
        load.pace.record_gap(0.9, load.now)
    load.go(0.1, USUAL_S)

    assert load.pace.expected_s(100, load.now) == pytest.approx(4.0)


def test_a_pace_is_believed_after_some_gaps_and_for_some_time(slowdowns):
    load = _Load(paces.Pace(slowdowns))
    assert load.pace.expected_s(1, load.now) is None
    load.go(1.0, USUAL_S)

    later = load.now + paces.MAX_USUAL_AGE_S + 1.0
    assert load.pace.usual_s(load.now) == pytest.approx(USUAL_S)
    assert load.pace.usual_s(later) is None


@pytest.mark.parametrize("gap_s", [USUAL_S, RATIO * USUAL_S])
def test_a_replica_that_was_idle_for_long_is_learnt_anew(load, gap_s):
    """The first runs after a minute without any ended with a fault."""
    load.now += paces.MAX_USUAL_AGE_S + 1.0
    load.go(1.0, gap_s)

    assert load.pace.usual_s(load.now) == pytest.approx(gap_s)


def test_a_replica_that_tells_of_contention_is_slow_at_once(load):
    _moments(load, 8)
    load.tells(RATIO)

    assert load.pace.expected_s(100, load.now) > 4.2
    load.go(0.3, USUAL_S)
    assert load.pace.expected_s(100, load.now) == pytest.approx(4.0)


def test_a_replica_that_lies_about_contention_is_judged_by_its_runs(load):
    load.tells(100.0)
    load.go(0.3, USUAL_S)
    assert load.pace.expected_s(100, load.now) == pytest.approx(4.0)

    load.tells(1.0)
    load.go(2.0, RATIO * USUAL_S)
    assert load.pace.expected_s(100, load.now) > 4.5
