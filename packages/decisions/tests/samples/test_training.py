"""Tests the measured training time."""

from anvilwell_decisions.samples import training


def follow(*spans):
    found = training.TrainingTime()
    for begun, ended in spans:
        found.begin(begun)
        found.end(ended)
    return found


def test_nothing_is_known_at_first():
    found = training.TrainingTime()
    found.end(5.0)
    assert found.usual_s == 0.0


def test_the_least_of_the_last_two_counts():
    assert follow((0.0, 10.0), (20.0, 90.0)).usual_s == 10.0
    assert follow((0.0, 1.0), (20.0, 90.0), (90.0, 100.0)).usual_s == 10.0


def test_a_second_collect_changes_nothing():
    found = follow((0.0, 10.0))
    found.end(99.0)
    assert found.usual_s == 10.0
