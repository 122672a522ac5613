"""Only one trial of a request runs at a time, and each one expires."""

from anvilwell_decisions.requests import trials


def test_second_trial_waits_until_the_first_ends():
    active = trials.Trials()

    assert active.begin("f", "a", 0.0) == 0
    assert active.begin("f", "b", 0.1) == trials.RETRY_WAIT_S
    assert active.begin("g", "b", 0.1) == 0
    active.end("f", "b")
    assert active.begin("f", "b", 0.2) == trials.RETRY_WAIT_S
    active.end("f", "a")
    assert active.begin("f", "b", 0.3) == 0


def test_duplicate_messages_change_nothing():
    active = trials.Trials()

    assert active.begin("f", "a", 0.0) == 0
    assert active.begin("f", "a", 0.1) == 0
    active.end("f", "a")
    active.end("f", "a")
    assert active.begin("f", "b", 0.2) == 0


def test_unfinished_trial_expires():
    active = trials.Trials()
    active.begin("f", "a", 0.0)

    assert (
        active.begin("f", "b", trials.MAX_TRIAL_S - 0.1) == trials.RETRY_WAIT_S
    )
    assert active.begin("f", "b", trials.MAX_TRIAL_S) == 0
