"""An answer on its way from an agent through an entry to a caller."""

from anvilwell_bench.slopes import act
from anvilwell_daemon.agent import outflow
from anvilwell_daemon.entry import calls
from anvilwell_daemon.entry import completions
from anvilwell_daemon.links import connection
from anvilwell_daemon.links import mailbox
from anvilwell_daemon.links import stream as streams
from anvilwell_kernel.messages import requests

ROUNDS = 40
TOKEN_BYTES = 4
TOKENS = 25
VERSION = "1234"
_NO_LIMIT = 1 << 40
_SIZES = (4, 16, 64, 256)
_TEXT = b"abcd"


def _start(stream_id=1):
    return requests.RequestStart(
        stream_id=stream_id,
        request_id=f"{stream_id:032x}",
        attempt=1,
        service="planner-lm",
        priority="live",
        idempotent=True,
        method="POST",
        path="/v1/completions",
        headers=[("Content-Type", "application/json")],
        body=b"x" * 2048,
        deadline_s=30.0,
        task_id=f"{stream_id:032x}@/1",
        generation=1,
        credit=_NO_LIMIT,
    )


class _Path:
    """One stream between an agent and an entry, without the socket."""

    def __init__(self, stream_id=1):
        start = _start(stream_id)
        self.outflow = outflow.Outflow(start)
        self.mailbox = mailbox.ThreadMailbox()
        self.stream = streams.Stream(start, self.mailbox)
        self.outflow.put(outflow.Head(200, []))
        self._cross()

    def carry(self, tokens):
        """Carry `tokens` tokens that the agent joins into a message."""
        for _ in range(tokens):
            self.outflow.put(outflow.Piece(_TEXT, 1, VERSION))
        return self._cross()

    def _cross(self):
        frame = connection.CODEC.encode_all(self.outflow.take())
        for message in connection.CODEC.decode_all(frame):
            self.stream.receive(message)
            self.mailbox.get(0.0)
        return frame


class AgentCpu(act.Act):
    """CPU of an agent to take tokens and join them into a message."""

    name = "agent.tokens.cpu"
    act = "take tokens and join them into one message"
    grows_with = "tokens in the message"
    unit = "us"
    sizes = _SIZES

    def measure(self, size):
        """Return CPU microseconds for one message."""
        flow = outflow.Outflow(_start())

        def carry():
            for _ in range(size):
                flow.put(outflow.Piece(_TEXT, 1, VERSION))
            connection.CODEC.encode_all(flow.take())

        return act.cpu_us(carry, ROUNDS)


class EntryCpu(act.Act):
    """CPU of an entry to take in a message and write its event."""

    name = "entry.messages.cpu"
    act = "decode, check and turn data messages of 25 tokens into events"
    grows_with = "messages"
    unit = "us"
    sizes = _SIZES

    def measure(self, size):
        """Return CPU microseconds for `size` messages."""
        data = _TEXT * TOKENS
        frames = [
            connection.CODEC.encode_all(
                [requests.ResponseData(1, number, data, TOKENS, VERSION)]
            )
            for number in range(size)
        ]

        def carry():
            box = mailbox.ThreadMailbox()
            stream = streams.Stream(_start(), box)
            stream.receive(requests.ResponseHead(1, f"{1:032x}", 1, 200, []))
            box.get(0.0)
            for frame in frames:
                for message in connection.CODEC.decode_all(frame):
                    stream.receive(message)
                piece = box.get(0.0)
                completions.piece_event(
                    calls.Piece(piece.data, piece.tokens, piece.version)
                )

        return act.cpu_us(carry, ROUNDS)


class TokenBytes(act.Act):
    """Bytes on the link for a message of some tokens."""

    name = "link.tokens.bytes"
    act = "frame with one message of joined tokens"
    grows_with = "tokens in the message"
    unit = "bytes"
    sizes = _SIZES

    def measure(self, size):
        """Return the frame's bytes."""
        return len(_Path().carry(size))


class StreamBytes(act.Act):
    """Memory of open streams, both ends, without thread and socket."""

    name = "link.streams.bytes"
    act = "memory of open streams at entry and agent"
    grows_with = "open streams"
    unit = "bytes"
    sizes = (50, 100, 200, 400)

    def measure(self, size):
        """Return retained bytes."""
        return act.retained_bytes(
            lambda: [_Path(number) for number in range(size)]
        )
