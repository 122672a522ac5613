"""Tests the limit of requests to one replica in any second."""

import math

from anvilwell_decisions.requests import send_windows

WINDOW_S = send_windows.WINDOW_S


def _sends(allowance=3):
    return send_windows.ReplicaSends(
        send_windows.SendWindow(), lambda now: allowance, lambda: True
    )


def _send(sends, *times):
    return [sends.may_send(now) and sends.reserve().use(now) for now in times]


def test_no_window_holds_more_requests_than_allowed():
    """Guard against bursts that span the border of two fixed seconds."""
    sends = _sends()
    assert _send(sends, 0.0, 0.9, 0.9, 1.0) == [True, True, True, False]
    assert sends.wait_s(1.0) == WINDOW_S - 1.0
    assert _send(sends, WINDOW_S, WINDOW_S) == [True, False]


def test_a_request_counts_while_its_connection_opens():
    """Guard against slow connects that bring two windows together."""
    sends = _sends(1)
    permit = sends.reserve()
    assert not sends.may_send(5.0)
    assert permit.use(5.0)
    assert _send(sends, 5.0 + WINDOW_S - 0.01) == [False]


def test_a_permit_is_checked_again_when_the_request_is_written():
    """Guard against a send after a suspension in which the lease lapsed."""
    allowances = iter([3, 0])
    sends = send_windows.ReplicaSends(
        send_windows.SendWindow(), lambda now: next(allowances), lambda: True
    )
    assert sends.may_send(0.0)
    permit = sends.reserve()
    assert not permit.use(60.0)
    permit.close()
    assert sends.window.used(60.0) == 0


def test_lent_requests_are_deducted_until_their_second_is_over():
    """Guard against an owner that sends what its borrower just sent."""
    sends = _sends()
    sends.lend("b", 2, until=1.0)
    sends.lend("b", 1, until=1.2)
    assert sends.spare(1.0) == 1
    assert sends.spare(1.0 + WINDOW_S) == 2
    assert sends.spare(1.2 + WINDOW_S) == 3


def test_the_wait_counts_the_requests_that_wait_already():
    """Guard against all items waiting for the same turn."""
    sends = _sends(2)
    _send(sends, 0.0, 0.5)
    assert math.isclose(sends.turn_wait_s(0.6), WINDOW_S - 0.6)
    sends.await_turn()
    assert math.isclose(sends.turn_wait_s(0.6), WINDOW_S - 0.1)
    sends.await_turn()
    assert sends.turn_wait_s(0.6) == math.inf
