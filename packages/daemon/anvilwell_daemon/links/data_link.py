"""The entry's link to one agent, kept up and shared by requests."""

import asyncio
import enum
import itertools

import websockets
from websockets.asyncio import client

from anvilwell_daemon.links import connection as connections
from anvilwell_daemon.links import stream as streams
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import links as link_messages
from anvilwell_kernel.messages import requests
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import logs

CONNECT_TIMEOUT_S = 2.0
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0

_LOG = logs.get_logger(__name__)


class State(enum.StrEnum):
    """What a link is good for."""

    DOWN = "down"
    UP = "up"
    LEAVING = "leaving"


class DataLink:
    """Multiplexes requests to one agent; reconnects when it is lost.

    Only the event loop's thread may call it, but for ``state``,
    ``load`` and ``in_flight``, which any thread may read.

    Parameters
    ----------
    address : str
        ``host:port`` of the agent.
    hello : links.Hello
        Who this entry is.
    random : random.Random
        Source of the jitter between attempts to connect.
    on_change : callable
        Takes the link after each change of its state or load.
    """

    def __init__(self, address, hello, random, on_change=lambda link: None):
        self.address = address
        self.state = State.DOWN
        self.peer = None
        self.load = None
        self._hello = hello
        self._random = random
        self._on_change = on_change
        self._connection = None
        self._streams_by_id = {}
        self._stream_ids = itertools.count(1)
        self._left = False
        self.late_messages = 0

    @property
    def in_flight(self):
        """Requests on this link without a final answer."""
        return len(self._streams_by_id)

    @property
    def has_left(self):
        """Whether ``leave`` was called and not undone."""
        return self._left

    @property
    def takes_requests(self):
        """Whether new requests may go this way now."""
        is_reachable = self.load is None or self.load.reachable
        return self.state is State.UP and is_reachable

    def open(self, start, mailbox):
        """Open a stream for `start` and return its id.

        Whatever happens, the mailbox gets the outcome.
        """
        stream_id = next(self._stream_ids)
        start = start._replace(stream_id=stream_id)
        stream = streams.Stream(start, mailbox)
        refusal = self._refusal()
        if refusal:
            mailbox.put(refusal)
            return stream_id
        self._streams_by_id[stream_id] = stream
        self._connection.send(start, stream.mark_sent)
        return stream_id

    def cancel(self, stream_id, reason):
        """Give up a stream; what still arrives for it is dropped."""
        stream = self._streams_by_id.pop(stream_id, None)
        if stream is None or self._connection.withdraw(stream.start):
            return stream
        self._connection.send(requests.RequestCancel(stream_id, reason))
        return stream

    def expire(self, stream_id):
        """Give up a stream; its mailbox gets a true `Timeout`."""
        stream = self.cancel(stream_id, reasons.Refusal.DEADLINE)
        if stream is not None:
            stream.expire()

    def add_credit(self, stream_id, frames):
        """Let the agent send `frames` more pieces."""
        if stream_id in self._streams_by_id:
            self._connection.send(requests.Credit(stream_id, frames))

    def leave(self):
        """Open no more streams; those that are open go on."""
        self._left = True
        if self.state is State.UP:
            self._set_state(State.LEAVING)

    def stay(self):
        """Undo ``leave``, because the agent has come back."""
        if self._left:
            self._left = False
            if self.state is State.LEAVING:
                self._set_state(State.UP)

    async def run(self):
        """Keep the link up until cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                await self._connect_and_carry()
                backoff_s = MIN_BACKOFF_S
            except (
                OSError,
                TimeoutError,
                websockets.WebSocketException,
                exceptions.MalformedMessage,
            ) as error:
                _LOG.log("connect-failed", address=self.address, cause=error)
            await asyncio.sleep(backoff_s * self._random.uniform(0.5, 1.0))
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    async def _connect_and_carry(self):
        async with client.connect(
            f"ws://{self.address}{connections.DATA_PATH}",
            proxy=None,
            open_timeout=CONNECT_TIMEOUT_S,
            **connections.WEBSOCKET_OPTIONS,
        ) as websocket:
            connection = connections.Connection(websocket)
            self.peer = await connection.exchange_hello(self._hello)
            self._connection = connection
            self._set_state(State.LEAVING if self._left else State.UP)
            try:
                await connection.run(self._receive)
            finally:
                self._lose()

    def _lose(self):
        self.load = None
        self._connection = None
        self._set_state(State.DOWN)
        lost = list(self._streams_by_id.values())
        self._streams_by_id.clear()
        for stream in lost:
            stream.lose(f"the link to {self.address} was lost")

    def _set_state(self, state):
        self.state = state
        self._on_change(self)

    def _refusal(self):
        if self.state is State.LEAVING:
            return exceptions.Refused(
                f"{self.address} is leaving", reason=reasons.Refusal.DRAINING
            )
        if self._connection is None:
            return exceptions.Refused(
                f"no link to {self.address}",
                reason=reasons.Refusal.CONNECT_FAILED,
            )
        if self._connection.is_full:
            return exceptions.Refused(
                f"the link to {self.address} is full",
                reason=reasons.Refusal.QUEUE_FULL,
            )
        return None

    def _receive(self, message):
        kind = type(message)
        if kind is link_messages.AgentLoad:
            self.load = message
            self._on_change(self)
        elif kind is link_messages.Leaving:
            self._set_state(State.LEAVING)
        elif kind in _ANSWER_KINDS:
            self._receive_answer(message)
        else:
            raise exceptions.MalformedMessage(f"{kind.__name__} from an agent")

    def _receive_answer(self, message):
        stream = self._streams_by_id.get(message.stream_id)
        if stream is None:
            self.late_messages += 1
        elif stream.receive(message):
            self._end(message)

    def _end(self, message):
        self._streams_by_id.pop(message.stream_id)
        if type(message) not in _LAST_KINDS:
            cancel = requests.RequestCancel(
                message.stream_id, reasons.Refusal.ANSWER_CUT
            )
            self._connection.send(cancel)


_LAST_KINDS = frozenset((requests.ResponseEnd, requests.ResponseError))
_ANSWER_KINDS = _LAST_KINDS | {requests.ResponseHead, requests.ResponseData}
