"""The longer a run has been running, the more events it has left."""

from anvilwell_decisions.batches import lengths
import pytest

TOKENS_PER_EVENT = 50


def _lengths(*counts, expected_tokens=0):
    known = lengths.LengthEstimator()
    for events in counts:
        known.observe("r", expected_tokens, events)
    return known


def test_without_lengths_a_run_is_expected_to_double():
    assert _lengths().remaining_events("r", 0, 30) == 30
    assert _lengths(*[5] * 100).remaining_events("other", 0, 30) == 30


def test_remaining_events_grow_in_a_long_tail():
    known = _lengths(*[4] * 70, *[20] * 20, *[100] * 10)

    assert known.remaining_events("r", 0, 0) == pytest.approx(16.8)
    assert known.remaining_events("r", 0, 10) == pytest.approx(
        110 / 3 - 0.0, abs=0.1
    )
    assert known.remaining_events("r", 0, 30) == pytest.approx(70.0)


def test_a_run_longer_than_all_others_is_expected_to_double():
    assert _lengths(*[20] * 100).remaining_events("r", 0, 40) == 40


def test_an_estimate_is_used_as_a_scale():
    known = lengths.LengthEstimator()
    for events in (10, 20, 40) * 10:
        known.observe("r", events * TOKENS_PER_EVENT, events)

    expected_tokens = 30 * TOKENS_PER_EVENT
    assert known.remaining_events("r", expected_tokens, 0) == pytest.approx(
        30.0
    )
    assert known.remaining_events("r", expected_tokens, 10) == pytest.approx(
        20.0
    )
    assert known.tokens_per_event("r") == pytest.approx(TOKENS_PER_EVENT)


def test_tokens_per_event_are_unknown_without_estimates():
    assert _lengths(*[20] * 100).tokens_per_event("r") == 0.0
