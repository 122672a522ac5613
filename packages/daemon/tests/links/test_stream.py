"""Answers are taken only whole, in order and for the right request."""

import hypothesis
from hypothesis import strategies
import pytest

from anvilwell_daemon.links import headers
from anvilwell_daemon.links import mailbox
from anvilwell_daemon.links import stream as streams
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import requests
from anvilwell_kernel import reasons

HEAD = requests.ResponseHead(1, "r", 2, 200, [])
DATA = [requests.ResponseData(1, n, b"x") for n in range(3)]
END = requests.ResponseEnd(1, "r", 2, 3)
WHOLE = [HEAD, *DATA, END]
START = requests.RequestStart(
    1, "r", 2, "s", "live", True, "GET", "/", [], b"", 1.0, "", 1, 1
)


def _receive(messages):
    box = mailbox.ThreadMailbox()
    stream = streams.Stream(START, box)
    for message in messages:
        if stream.receive(message):
            break
    return [box.get(0) for _ in range(len(messages) + 1)]


@pytest.mark.parametrize(
    "messages",
    [
        [HEAD, *DATA[1:], END],
        [HEAD, DATA[0], DATA[0]],
        [HEAD, *DATA[:2], END],
        [*DATA, END],
        [END],
        [HEAD, HEAD],
        [HEAD._replace(request_id="other")],
        [HEAD._replace(attempt=1)],
        [HEAD, *DATA, END._replace(request_id="other")],
    ],
)
def test_wrong_answers_are_cut(messages):
    last = [event for event in _receive(messages) if event][-1]
    assert isinstance(last, exceptions.LinkLost)
    assert last.reason is reasons.Refusal.ANSWER_CUT


@hypothesis.given(strategies.lists(strategies.sampled_from(WHOLE), max_size=8))
def test_only_the_whole_answer_in_order_ends_well(messages):
    ended_well = END in _receive(messages)
    assert ended_well == (messages[: len(WHOLE)] == WHOLE)


def test_hop_by_hop_and_named_headers_stay_behind():
    given = [
        ("Connection", "close, X-Private"),
        ("X-Private", "1"),
        ("Transfer-Encoding", "chunked"),
        ("Content-Length", "5"),
        ("Anvilwell-Verdict", "not-run"),
        ("Content-Type", "text/plain"),
    ]
    assert headers.end_to_end(given) == [("Content-Type", "text/plain")]
