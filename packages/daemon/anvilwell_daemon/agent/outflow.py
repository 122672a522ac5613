"""What a backend server produced and the link has not yet carried."""

import collections
import itertools
import threading
import typing

from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import requests
from anvilwell_kernel import reasons

MAX_PIECE_BYTES = 16 << 10
MAX_BUFFER_BYTES = 64 << 10


class Head(typing.NamedTuple):
    """The start of a backend server's answer."""

    status: int
    headers: list


class Piece(typing.NamedTuple):
    """Part of an answer; tokens and version only from a model."""

    data: bytes
    tokens: int = 0
    version: str = ""


class Finish(typing.NamedTuple):
    """The end of a whole answer."""

    reason: str = ""


class Cancelled(exceptions.AnvilwellError):
    """Nobody waits for the answer any more."""

    reason = reasons.Refusal.CANCELLED


class Outflow:
    """A bounded buffer between a worker thread and the event loop.

    The worker blocks in ``put`` while the buffer is full, so that a
    slow reader slows the backend server down. Neighbouring pieces of
    one version leave as one message.

    Parameters
    ----------
    start : requests.RequestStart
        The request whose answer this is; its credit is the first.
    """

    def __init__(self, start):
        self._start = start
        self._credit = start.credit
        self._sequence = 0
        self._buffer = collections.deque()
        self._buffer_bytes = 0
        self._condition = threading.Condition()
        self._closed = False
        self.tokens = 0
        self.is_ended = False
        self.on_end = None

    @property
    def is_full(self):
        """Whether the worker must wait for the link."""
        return self._buffer_bytes > MAX_BUFFER_BYTES

    def put(self, event):
        """Add an event; blocks while the buffer is full.

        Raises
        ------
        Cancelled
            If the stream was closed meanwhile.
        """
        size = 0
        if type(event) is Piece:
            size = len(event.data)
            self.tokens += event.tokens
        with self._condition:
            while self.is_full and not self._closed:
                self._condition.wait()
            if self._closed:
                raise Cancelled("the stream was closed")
            self._buffer.append(event)
            self._buffer_bytes += size

    def add_credit(self, frames):
        """Allow `frames` more data messages."""
        with self._condition:
            self._credit += frames

    def close(self):
        """Drop what waits; a blocked worker gets `Cancelled`."""
        with self._condition:
            self._closed = True
            self._buffer.clear()
            self._buffer_bytes = 0
            self._condition.notify_all()

    def take(self):
        """Return the messages that may leave now, in order."""
        with self._condition:
            messages = []
            while self._buffer and self._may_leave():
                messages.append(self._message())
            self._condition.notify_all()
        if self.is_ended and self.on_end:
            self.on_end()
        return messages

    def _may_leave(self):
        return self._credit > 0 or type(self._buffer[0]) is not Piece

    def _message(self):
        event = self._buffer.popleft()
        start = self._start
        if type(event) is Piece:
            return self._data_message(event)
        if type(event) is Head:
            return requests.ResponseHead(
                start.stream_id,
                start.request_id,
                start.attempt,
                event.status,
                event.headers,
            )
        self.is_ended = True
        return requests.ResponseEnd(
            start.stream_id,
            start.request_id,
            start.attempt,
            self._sequence,
            event.reason,
        )

    def _data_message(self, first):
        pieces = [first, *self._same_kind(first)]
        message = requests.ResponseData(
            self._start.stream_id,
            self._sequence,
            b"".join(piece.data for piece in pieces),
            sum(piece.tokens for piece in pieces),
            first.version,
        )
        self._sequence += 1
        self._credit -= 1
        self._buffer_bytes -= len(message.data)
        return message

    def _same_kind(self, first):
        size = len(first.data)
        pieces = []
        for event in self._buffer:
            if type(event) is not Piece or event.version != first.version:
                break
            size += len(event.data)
            if size > MAX_PIECE_BYTES:
                break
            pieces.append(event)
        for _ in itertools.repeat(None, len(pieces)):
            self._buffer.popleft()
        return pieces
