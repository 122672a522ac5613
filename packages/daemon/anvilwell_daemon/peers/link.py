"""One control link to a peer, used both ways."""

import asyncio
import itertools

import websockets

from anvilwell_daemon.peers import meter
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import peers as messages
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

MAX_HANDLERS = 64

_LOG = logs.get_logger(__name__)


class Link:
    """Sends and receives envelopes over one websocket.

    Parameters
    ----------
    connection : websockets connection
        An open websocket after both hellos.
    peer : messages.Hello
        What the other side said of itself.
    registry : registry.Registry
        The kinds that may be sent and the handlers of those received.
    clock : clock.Clock
        Gives ``used_at``, by which idle links are closed.
    """

    def __init__(self, connection, peer, registry, clock):
        self.peer = peer
        self.used_at = clock.monotonic()
        self._connection = connection
        self._registry = registry
        self._clock = clock
        self._numbers = itertools.count(1)
        self._waiting_by_number = {}
        self._handlers = set()
        self._room = asyncio.Semaphore(MAX_HANDLERS)

    @property
    def is_busy(self):
        """Whether a request or a handler is under way."""
        return bool(self._waiting_by_number or self._handlers)

    async def send(self, message):
        """Send `message`, to which no answer is meant."""
        await self._send(message, 0, 0)

    async def request(self, message):
        """Send `message` and return its answer."""
        number = next(self._numbers)
        answer = asyncio.get_running_loop().create_future()
        self._waiting_by_number[number] = answer
        try:
            await self._send(message, number, 0)
            reply = await answer
        finally:
            self._waiting_by_number.pop(number, None)
        if isinstance(reply, messages.Failure):
            raise _error(reply)
        return reply

    async def run(self):
        """Receive until the link closes; then fail what still waits."""
        try:
            async for frame in self._connection:
                await self._receive(frame)
        except exceptions.MalformedMessage as error:
            _LOG.log("malformed", peer=self.peer.vm_id, error=error.message)
        except websockets.ConnectionClosed:
            pass
        finally:
            self._fail_waiting()
            await self._connection.close()

    async def close(self):
        """Close the websocket; ``run`` then ends."""
        await self._connection.close()

    def abort(self):
        """Drop the link without waiting for the other side."""
        self._connection.transport.abort()

    async def _send(self, message, request, answers):
        self.used_at = self._clock.monotonic()
        payload = self._registry.codec.encode(message)
        envelope = messages.Envelope(request, answers, payload)
        frame = self._registry.codec.encode(envelope)
        try:
            await self._connection.send(frame)
        except websockets.ConnectionClosed as error:
            raise exceptions.LinkLost(
                f"link to {self.peer.vm_id} closed while sending"
            ) from error
        meter.count_sent(type(message), len(frame))

    async def _receive(self, frame):
        envelope = self._registry.codec.decode(frame)
        message = self._registry.codec.decode(envelope.message)
        meter.count_received(type(message), len(frame))
        self.used_at = self._clock.monotonic()
        if envelope.answers:
            self._take_answer(envelope.answers, message)
            return
        await self._room.acquire()
        task = asyncio.create_task(self._handle(envelope.request, message))
        self._handlers.add(task)
        task.add_done_callback(self._forget)

    def _take_answer(self, number, message):
        answer = self._waiting_by_number.get(number)
        if answer and not answer.done():
            answer.set_result(message)

    def _forget(self, task):
        self._handlers.discard(task)
        self._room.release()

    async def _handle(self, number, message):
        reply = await self._reply(message)
        if not number:
            return
        try:
            await self._send(reply, 0, number)
        except exceptions.LinkLost:
            _LOG.log("answer-lost", peer=self.peer.vm_id)

    async def _reply(self, message):
        handler = self._registry.handler(type(message))
        try:
            reply = await handler(self.peer.vm_id, message)
        except exceptions.AnvilwellError as error:
            return _failure(error)
        except Exception as error:
            kind = type(message).__name__
            _LOG.log("handler-failed", kind=kind, error=repr(error))
            return messages.Failure(
                verdicts.Verdict.MAY_HAVE_RUN,
                reasons.Refusal.INTERNAL,
                f"the handler of {kind} failed",
            )
        return messages.Done() if reply is None else reply

    def _fail_waiting(self):
        for answer in self._waiting_by_number.values():
            if not answer.done():
                error = exceptions.LinkLost(
                    f"link to {self.peer.vm_id} lost before the answer"
                )
                answer.set_exception(error)


def _failure(error):
    return messages.Failure(
        error.verdict,
        error.reason,
        error.message,
        error.retry_after,
        error.status,
    )


def _error(failure):
    error = exceptions.AnvilwellError(
        failure.message,
        reason=reasons.Refusal(failure.reason),
        verdict=verdicts.Verdict(failure.verdict),
        retry_after=failure.retry_after_s,
    )
    error.status = failure.status
    return error
