"""The played rollout and the outlook of the measured control cost."""

from anvilwell_bench.control import measure
from anvilwell_bench.control import report
from anvilwell_bench.control import rollout
import pytest


@pytest.mark.parametrize("floor", [0.5, 0.75])
def test_played_rollout_settles_and_keeps_the_floor(floor):
    played = rollout.play(rollout.Scene(130, floor=floor), seed=1)
    assert played.least_in_service >= 130 * floor
    assert played.failed == 0
    waves = round(1 / (1 - floor))
    assert played.sound_s > waves * played.scene.swap_s


def test_played_rollout_gives_failing_engines_up_and_goes_on():
    scene = rollout.Scene(100, failing_share=0.05)
    played = rollout.play(scene, seed=1)
    assert played.failed == 5
    assert played.sound_s < played.took_s


def test_loads_not_done_ahead_wait_for_their_grants():
    scene = rollout.Scene(130, is_loaded_ahead=False, loads_per_s=10.0)
    assert rollout.play(scene, seed=1).sound_s >= 117 / 10.0


def test_outlook_says_which_goals_are_missed():
    results = [_result(size, size * 1.0) for size in (20, 40, 80)]
    text = report.outlook("naive", results)
    assert "key-value calls/s of the fleet: +1 a daemon; 850 at 850" in text
    assert "MISSED" in text


def test_outlook_draws_what_does_not_grow_at_its_largest_value():
    results = [_result(size, rate) for size, rate in ((20, 9.0), (80, 3.0))]
    text = report.outlook("ours", results)
    assert "9 at 850 (met), 9 at 5950 (met); 200" in text


def _result(size, rate):
    return measure.Result(
        "ours", size, 100.0, 10.0, 0.01, 1e6, 5e7, {"lease read": rate}, 0,
        0.1, 2.0,
    )  # fmt: skip
