"""One established websocket with batched, typed messages."""

import asyncio
import collections
import typing

import websockets

from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import codec as codecs
from anvilwell_kernel.messages import links as link_messages
from anvilwell_kernel.messages import requests
from anvilwell_kernel.telemetry import logs

DATA_PATH = "/data"
MAX_BATCH = 64
MAX_BATCH_BYTES = 256 << 10
MAX_OUTBOX_BYTES = 32 << 20
MESSAGE_BYTES = 64
PING_INTERVAL_S = 2.0
PING_TIMEOUT_S = 4.0
CLOSE_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 3.0

_LOG = logs.get_logger(__name__)

CODEC = codecs.Codec((*requests.KINDS, *link_messages.KINDS))

WEBSOCKET_OPTIONS = {
    "compression": None,
    "max_size": codecs.MAX_FRAME_BYTES,
    "ping_interval": PING_INTERVAL_S,
    "ping_timeout": PING_TIMEOUT_S,
    "close_timeout": CLOSE_TIMEOUT_S,
}


class Queued(typing.NamedTuple):
    """A message that waits for the socket."""

    message: typing.Any
    size: int
    on_sent: typing.Callable | None


class Connection:
    """Sends and receives messages on one websocket.

    Messages that wait together leave in one frame, so that a busy link
    pays the cost of a frame once for many streams. Only the event
    loop's thread may call it.

    Parameters
    ----------
    websocket : websockets connection
        An open connection, of either side.
    """

    def __init__(self, websocket):
        self._websocket = websocket
        self._outbox = collections.deque()
        self._outbox_bytes = 0
        self._wakeup = asyncio.Event()
        self._is_over = False

    @property
    def is_full(self):
        """Whether more bytes wait for the socket than are allowed."""
        return self._outbox_bytes > MAX_OUTBOX_BYTES

    def send(self, message, on_sent=None):
        """Queue `message`; call `on_sent` as it goes to the socket."""
        size = _size(message)
        self._outbox.append(Queued(message, size, on_sent))
        self._outbox_bytes += size
        self._wakeup.set()

    def withdraw(self, message):
        """Take back `message`; return whether it had not yet left."""
        for queued in self._outbox:
            if queued.message is message:
                self._outbox.remove(queued)
                self._outbox_bytes -= queued.size
                return True
        return False

    async def exchange_hello(self, hello):
        """Send our `Hello` and return the peer's.

        Raises
        ------
        exceptions.MalformedMessage
            If the peer speaks anything else first.
        """
        await self._websocket.send(CODEC.encode_all([hello]))
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            messages = await self._receive()
        if len(messages) != 1 or type(messages[0]) is not link_messages.Hello:
            raise exceptions.MalformedMessage("no Hello came first")
        return messages[0]

    async def run(self, on_message):
        """Carry messages until the connection ends.

        Parameters
        ----------
        on_message : callable
            Takes each message that arrives, in order.
        """
        writer = asyncio.create_task(self._write())
        try:
            while True:
                for message in await self._receive():
                    on_message(message)
        except websockets.ConnectionClosed as closed:
            _LOG.log("closed", cause=str(closed))
        except exceptions.MalformedMessage as error:
            _LOG.log("malformed", cause=error.message)
        finally:
            self._is_over = True
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)
            await self._websocket.close()

    async def close(self):
        """Close the websocket."""
        await self._websocket.close()

    async def flush(self):
        """Wait until nothing waits for the socket, or it is closed."""
        while self._outbox and not self._is_over:
            await asyncio.sleep(0.01)

    async def _receive(self):
        frame = await self._websocket.recv(decode=False)
        return CODEC.decode_all(frame)

    async def _write(self):
        while True:
            await self._wakeup.wait()
            batch = self._take()
            if batch:
                await self._websocket.send(CODEC.encode_all(batch))

    def _take(self):
        batch = []
        size = 0
        while self._outbox and len(batch) < MAX_BATCH:
            if batch and size + self._outbox[0].size > MAX_BATCH_BYTES:
                break
            queued = self._outbox.popleft()
            size += queued.size
            batch.append(queued.message)
            if queued.on_sent:
                queued.on_sent()
        self._outbox_bytes -= size
        if not self._outbox:
            self._wakeup.clear()
        return batch


def _size(message):
    kind = type(message)
    if kind is requests.ResponseData:
        return MESSAGE_BYTES + len(message.data)
    if kind is requests.RequestStart:
        return MESSAGE_BYTES + len(message.body)
    return MESSAGE_BYTES
