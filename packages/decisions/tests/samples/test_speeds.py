"""Tests which replicas are detected as slow."""

from anvilwell_decisions.samples import speeds

REPLICAS_BY_ATTEMPT = {1: "a", 2: "b", 3: "c"}


def slow_by_window(*gains_by_window):
    """Return the slow replicas after each window's token gains."""
    found = speeds.SlowReplicaDetector()
    tokens = dict.fromkeys(REPLICAS_BY_ATTEMPT, 0)
    found.update(tokens, REPLICAS_BY_ATTEMPT, 0.0)
    slow = []
    for number, gains in enumerate(gains_by_window, 1):
        for attempt, gain in zip(tokens, gains, strict=True):
            tokens[attempt] += gain
        now = number * speeds.WINDOW_S
        slow.append(found.update(tokens, REPLICAS_BY_ATTEMPT, now))
    return slow


def test_a_replica_is_slow_after_two_windows():
    assert slow_by_window((100, 90, 30), (100, 90, 30)) == [set(), {"c"}]


def test_a_short_pause_makes_no_replica_slow():
    assert (
        slow_by_window((100, 90, 0), (100, 90, 80), (100, 90, 0))
        == [set()] * 3
    )


def test_replicas_that_all_make_nothing_are_not_slow():
    assert slow_by_window((0, 0, 0), (0, 0, 0)) == [set(), set()]


def test_nothing_is_said_within_a_window():
    found = speeds.SlowReplicaDetector()
    for now, tokens in ((0.0, 0), (10.0, 9), (15.0, 9), (20.0, 18)):
        counts = {1: tokens, 2: tokens, 3: 0}
        slow = found.update(counts, REPLICAS_BY_ATTEMPT, now)
        assert slow == ({"c"} if now == 20.0 else set())


def test_a_window_without_streams_is_no_error():
    found = speeds.SlowReplicaDetector()
    assert found.update({}, {}, 0.0) == set()
    assert found.update({}, {}, 10.0) == set()
