"""Relays the event stream of a replica to a live caller."""

import asyncio

from anvilwell_gateway import attempts
from anvilwell_gateway import events
from anvilwell_gateway.http import client
from anvilwell_gateway.http import messages
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import logs

# Limit of the body of an error response, in bytes.
MAX_FAILURE_BYTES = 1 << 20
# Share of the route's target latency that a resumable stream waits for its
# first event before another replica gets the request, so that the second
# replica can still meet the target.
FIRST_STALL_SHARE = 0.5
# Time in which a caller must read an event, in seconds. After it a resumable
# stream releases its replica, because replicas cut responses that are not
# read for some seconds.
SLOW_CALLER_S = 0.5

_LOG = logs.get_logger(__name__)


class _ReplicaReleased(Exception):
    """The replica was released because the caller reads too slowly."""


class StreamAttempts(attempts.Attempts):
    """Sends one streamed request to replicas, one after another.

    The caller gets the response head of the first replica that sent an
    event, then whole events only, whichever replica they come from.

    Parameters
    ----------
    forwarder, route, call, request
        As for `attempts.Attempts`.
    responder : responder.Responder
        Sends the events to the caller.
    """

    def __init__(self, forwarder, route, call, request, responder):
        super().__init__(forwarder, route, call, request)
        self._responder = responder
        # The number of the last event that was sent to the caller.
        self._last_number = call.resume_after

    async def run(self):
        """Relay the stream until its end.

        Raises
        ------
        exceptions.AnvilwellError
            Its verdict combines those of all attempts. If a response has
            started, the caller has received only a part of it.
        """
        try:
            async with (
                asyncio.timeout_at(self._deadline - attempts.RETURN_MARGIN_S),
                self._trial(),
            ):
                await self._run()
        except TimeoutError:
            raise self._timed_out("stream") from None

    @property
    def _is_repeatable(self):
        return self._route.is_resumable

    async def _run(self):
        while True:
            replica = self._choose()
            if replica is None:
                await self._send_failure(self._final_response())
                return
            try:
                response = await self._attempt_while_read(replica)
            except exceptions.AnvilwellError as error:
                self._record_failure(error, replica.replica_id)
                continue
            if response is None:
                return
            if self._is_final(response, replica.replica_id):
                await self._send_failure(response)
                return

    async def _attempt_while_read(self, replica):
        """Make one attempt, and resume it each time the replica was released.

        A replica is released while the caller reads too slowly.
        """
        was_released = False
        while True:
            try:
                return await self._attempt(replica)
            except exceptions.BackendFailed as error:
                if (
                    not was_released
                    or error.reason not in attempts.HELD_BACK_REASONS
                ):
                    raise
                # The replica counts as reached, as it has sent events.
                raise client.call_error(error.message, error.reason) from error
            except _ReplicaReleased:
                was_released = True
                _LOG.log(
                    "stream-let-go",
                    request_id=self._call.request_id,
                    replica=replica.replica_id,
                    last=self._last_number,
                )
            if replica.replica_id in self._not_allowed_ids():
                raise exceptions.RegionNotAllowed(
                    "the replica's region is no longer allowed"
                )

    def _final_response(self):
        if self._responder.has_started:
            raise client.call_error(
                f"the stream ended early: {self._last_error.message}",
                reasons.Refusal.ANSWER_CUT,
            )
        return super()._final_response()

    async def _send_failure(self, response):
        headers = messages.end_to_end(response.headers)
        await self._responder.send(response.status, headers, response.body)

    async def _ask(self, replica):
        """Relay the events of one replica; return its error response, if any.

        Returns
        -------
        attempts.BufferedResponse or None
            None if the stream was relayed to its end.
        """
        started_at = self._record_start(replica)
        connection = None
        failed = True
        is_whole = False
        reply = None
        try:
            connection = await self._forwarder.connect(
                replica, self._use(replica)
            )
            reply = await self._read_head(connection, replica)
            if reply.status >= 300:
                async with asyncio.timeout(self._stall_s()):
                    body = await connection.read_body(MAX_FAILURE_BYTES)
                is_whole = True
                failed = reply.status >= attempts.FIRST_FAILURE_STATUS
                return attempts.BufferedResponse(
                    reply.status, reply.headers, body
                )
            await self._relay_events(connection, reply)
            is_whole = True
            failed = False
            return None
        except TimeoutError:
            raise client.call_error(
                "the replica stopped sending", reasons.Refusal.DEADLINE
            ) from None
        except exceptions.AnvilwellError as error:
            failed = error.reason not in attempts.HELD_BACK_REASONS
            raise
        except (asyncio.CancelledError, _ReplicaReleased):
            failed = False
            raise
        finally:
            if is_whole:
                self._forwarder.release(replica, connection, reply)
            elif connection:
                connection.close()
            self._record_end(replica, started_at, failed)

    async def _read_head(self, connection, replica):
        async with asyncio.timeout(self._stall_s()):
            return await self._forwarder.send_request(
                connection,
                replica,
                self._call,
                self._request,
                self._deadline - self._loop.time(),
                self._last_number,
                self._permits_by_id[replica.replica_id],
            )

    def _stall_s(self):
        """Return how long a replica may pause, in seconds, None for no limit.

        Only resumable streams have a limit, as others can't be continued at
        another replica.
        """
        if not self._route.is_resumable:
            return None
        if self._responder.has_started:
            return events.STALL_TIMEOUT_S
        return FIRST_STALL_SHARE * self._route.target_latency_s

    async def _relay_events(self, connection, reply):
        """Relay whole events until the replica ends its stream."""
        reader = events.EventReader(connection, self._forwarder.read_event)
        while received := await reader.read(self._stall_s()):
            await self._send_events(connection, reply, received)
        await self._begin(reply)
        await self._responder.finish()

    async def _begin(self, reply):
        if not self._responder.has_started:
            headers = messages.end_to_end(reply.headers)
            kept = messages.without(headers, {"content-length"})
            await self._responder.start(reply.status, kept)

    async def _send_events(self, connection, reply, received):
        """Send `events.ReceivedEvent`s to the caller if they are consecutive.

        Raises
        ------
        exceptions.BackendFailed
            If the events are not numbered consecutively.
        _ReplicaReleased
            If the caller reads too slowly; the events were sent.
        """
        number = self._last_number
        for event, _ in received:
            if event.number != number + 1:
                raise client.call_error(
                    f"event {event.number} came after event {number}"
                )
            number = event.number
        data = b"".join(block + events.BLOCK_END for _, block in received)
        self._count_start(self._loop.time())
        await self._begin(reply)
        writing = asyncio.create_task(self._responder.write(data))
        try:
            if await self._is_read_soon(writing):
                return
            # Frees the slot at the replica until the caller has read.
            connection.close()
            await writing
        finally:
            writing.cancel()
            self._last_number = number
        raise _ReplicaReleased

    async def _is_read_soon(self, writing):
        """Wait until the caller has read; return False if it is too slow.

        Only the replica of a resumable stream may be released, so others
        wait without a limit.
        """
        timeout_s = SLOW_CALLER_S if self._route.is_resumable else None
        done, _ = await asyncio.wait((writing,), timeout=timeout_s)
        if done:
            await writing
        return bool(done)
