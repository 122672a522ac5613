"""Pieces wait for others, but for their own stream's first and last."""

import asyncio

from anvilwell_daemon.agent import flusher
from anvilwell_daemon.agent import outflow
from anvilwell_kernel.messages import requests

START = requests.RequestStart(
    1, "r", 1, "s", "live", True, "POST", "/", [], b"", 1.0, "", 1, credit=2
)


def _outflow(*events):
    made = outflow.Outflow(START)
    for event in events:
        made.put(event)
    return made


def test_an_urgent_stream_leaves_the_others_to_wait():
    sent = []

    class Connection:
        def send(self, message):
            sent.append(message)

    async def scenario():
        flush = flusher.Flusher(
            asyncio.get_running_loop(), Connection(), interval_s=60.0
        )
        patient = _outflow(outflow.Piece(b"later", 1, "7"))
        urgent = _outflow(outflow.Head(200, []))
        flush.mark(patient)
        flush.mark(urgent, now=True)
        while not sent:
            await asyncio.sleep(0)

    asyncio.run(scenario())
    assert [type(message) for message in sent] == [requests.ResponseHead]


def test_pieces_of_one_version_join_and_credit_holds_the_rest():
    made = _outflow(
        outflow.Piece(b"a", 1, "7"),
        outflow.Piece(b"b", 2, "7"),
        outflow.Piece(b"c", 1, "8"),
        outflow.Piece(b"d", 1, "9"),
        outflow.Finish("length"),
    )
    first = made.take()
    assert [(m.data, m.tokens, m.version) for m in first] == [
        (b"ab", 3, "7"),
        (b"c", 1, "8"),
    ]
    made.add_credit(1)
    assert [type(message) for message in made.take()] == [
        requests.ResponseData,
        requests.ResponseEnd,
    ]
    assert made.is_ended
