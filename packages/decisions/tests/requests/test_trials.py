"""One trial of a request at a time, and none that lasts for ever."""

from anvilwell_decisions.requests import trials


def test_a_second_trier_waits_until_the_first_is_done():
    known = trials.Trials()

    assert known.begin("f", "a", 0.0) == 0
    assert known.begin("f", "b", 0.1) == trials.RETRY_WAIT_S
    assert known.begin("g", "b", 0.1) == 0
    known.end("f", "b")
    assert known.begin("f", "b", 0.2) == trials.RETRY_WAIT_S
    known.end("f", "a")
    assert known.begin("f", "b", 0.3) == 0


def test_a_message_that_comes_twice_changes_nothing():
    known = trials.Trials()

    assert known.begin("f", "a", 0.0) == 0
    assert known.begin("f", "a", 0.1) == 0
    known.end("f", "a")
    known.end("f", "a")
    assert known.begin("f", "b", 0.2) == 0


def test_a_trier_that_is_not_heard_of_again_blocks_no_other():
    known = trials.Trials()
    known.begin("f", "a", 0.0)

    assert (
        known.begin("f", "b", trials.MAX_TRIAL_S - 0.1) == trials.RETRY_WAIT_S
    )
    assert known.begin("f", "b", trials.MAX_TRIAL_S) == 0
