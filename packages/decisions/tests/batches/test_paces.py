"""Short contention doesn't count as a slow replica; seconds of it do."""

from anvilwell_decisions.batches import paces
from anvilwell_decisions.requests import server_loads
import pytest

USUAL_S = 0.04
RATIO = 2.5
RUNS = 4
# Duration of the contention that occurs now and then on a machine that is
# shared with others, in seconds.
CONTENTION_S = 0.6


class _Load:
    """Records the gaps of some concurrent runs in a `paces.Pace`."""

    def __init__(self, pace):
        self.pace = pace
        self.now = 100.0

    def go(self, seconds, gap_s, runs=RUNS):
        until = self.now + seconds
        while self.now < until:
            self.now += gap_s / runs
            self.pace.record_gap(gap_s, self.now)

    def report(self, contention):
        reported = server_loads.ServerLoad(RUNS, 0, 8, contention)
        self.pace.record_load(reported, self.now)


@pytest.fixture(name="slowdowns")
def _slowdowns():
    return paces.Slowdowns()


@pytest.fixture(name="load")
def _load(slowdowns):
    load = _Load(paces.Pace(slowdowns))
    load.go(3.0, USUAL_S)
    return load


def _contention_periods(load, times):
    for _ in range(times):
        load.go(CONTENTION_S, RATIO * USUAL_S)
        load.go(3.0, USUAL_S)


def test_short_contention_leaves_the_usual_pace(load):
    _contention_periods(load, 8)

    assert load.pace.usual_s(load.now) == pytest.approx(USUAL_S)
    assert load.pace.expected_s(100, load.now) == pytest.approx(4.0)


def test_short_contention_costs_its_remaining_time(load):
    _contention_periods(load, 8)
    load.go(0.4, RATIO * USUAL_S)

    # About 0.2 s of contention are left, of which three fifths are lost.
    expected_s = load.pace.expected_s(100, load.now)
    assert expected_s == pytest.approx(4.0 + 0.6 * 0.2, abs=0.1)


def test_a_slowdown_longer_than_all_others_is_expected_to_last(load):
    _contention_periods(load, 8)
    load.go(2.0, RATIO * USUAL_S)

    expected_s = load.pace.expected_s(100, load.now)
    assert expected_s == pytest.approx(4.0 + 0.6 * 2.0, abs=0.3)


def test_slowdowns_of_other_replicas_are_used_for_the_estimate(
    load, slowdowns
):
    _contention_periods(load, 8)
    other = _Load(paces.Pace(slowdowns))
    other.go(3.0, USUAL_S)
    other.go(0.5, RATIO * USUAL_S)

    expected_s = other.pace.expected_s(100, other.now)
    assert expected_s == pytest.approx(4.0, abs=0.2)


def test_an_unobserved_slowdown_is_dropped_after_its_own_age(load):
    load.go(2.0, RATIO * USUAL_S)
    left_at = load.now

    assert load.pace.expected_s(100, left_at + 1.0) > 4.5
    assert load.pace.expected_s(100, left_at + 3.0) == pytest.approx(4.0)


def test_a_pace_measured_in_a_slowdown_is_not_the_usual_one(slowdowns):
    load = _Load(paces.Pace(slowdowns))
    load.go(0.6, RATIO * USUAL_S)
    load.go(0.6, USUAL_S)

    assert load.pace.usual_s(load.now) == pytest.approx(USUAL_S)


def test_a_pause_of_all_runs_is_no_slowdown(load):
    load.now += 0.9
    for _ in range(RUNS):
        load.pace.record_gap(0.9, load.now)
    load.go(0.1, USUAL_S)

    assert load.pace.expected_s(100, load.now) == pytest.approx(4.0)


def test_a_pace_is_known_after_some_gaps_and_for_some_time(slowdowns):
    load = _Load(paces.Pace(slowdowns))
    assert load.pace.expected_s(1, load.now) is None
    load.go(1.0, USUAL_S)

    later = load.now + paces.MAX_USUAL_AGE_S + 1.0
    assert load.pace.usual_s(load.now) == pytest.approx(USUAL_S)
    assert load.pace.usual_s(later) is None


@pytest.mark.parametrize("gap_s", [USUAL_S, RATIO * USUAL_S])
def test_a_replica_that_was_idle_for_long_is_measured_again(load, gap_s):
    """Guards against a fault in the first runs after a minute without any."""
    load.now += paces.MAX_USUAL_AGE_S + 1.0
    load.go(1.0, gap_s)

    assert load.pace.usual_s(load.now) == pytest.approx(gap_s)


def test_a_replica_that_reports_contention_is_slow_at_once(load):
    _contention_periods(load, 8)
    load.report(RATIO)

    assert load.pace.expected_s(100, load.now) > 4.2
    load.go(0.3, USUAL_S)
    assert load.pace.expected_s(100, load.now) == pytest.approx(4.0)


def test_wrongly_reported_contention_is_corrected_by_the_gaps(load):
    load.report(100.0)
    load.go(0.3, USUAL_S)
    assert load.pace.expected_s(100, load.now) == pytest.approx(4.0)

    load.report(1.0)
    load.go(2.0, RATIO * USUAL_S)
    assert load.pace.expected_s(100, load.now) > 4.5
