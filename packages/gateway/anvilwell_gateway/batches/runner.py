"""Runs one item at one replica and collects its events."""

import asyncio
import enum
import typing

from anvilwell_decisions.batches import progress as progresses
from anvilwell_gateway import events
from anvilwell_gateway.http import client
from anvilwell_gateway.http import messages
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons


class End(enum.StrEnum):
    """How a run ended."""

    WHOLE = "whole"
    REFUSED = "refused"
    OTHER_REPLICA = "other-replica"
    TOO_OLD = "too-old"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    STALLED = "stalled"
    STOPPED = "stopped"


class Ended(typing.NamedTuple):
    """A run's end; ``version`` is what the replica named, 0 if none.

    ``is_cut`` tells that its connection ended without a whole answer.
    """

    end: End
    version: int = 0
    cause: str = ""
    is_cut: bool = False


class Order(typing.NamedTuple):
    """What to run: an item, its text so far, and bounds."""

    item: typing.Any
    host: str
    progress: progresses.Progress
    min_version: int
    one_version: bool
    timeout_s: float
    organisation: str = ""


class Runner:
    """Runs items at replicas.

    Parameters
    ----------
    dialect : dialect.Dialect
        How replicas are spoken to.
    pool : client.Pool
        Connections to them.
    """

    def __init__(self, dialect, pool):
        self._dialect = dialect
        self._pool = pool

    def fingerprint(self, item, submission):
        """Return what is the same each time a batch's item is sent."""
        request = messages.Request(
            "POST",
            item.target,
            self._dialect.item_headers(item, submission.host),
            item.body,
            organisation=submission.organisation,
        )
        return messages.fingerprint(request)

    async def run(self, order, replica, pace):
        """Run `order` at `replica` and return how that `Ended`.

        The replica's ``pace`` (`paces.Pace`) is told the load that its head
        states and the time between two events. The order's progress has
        all whole events, whatever the end.
        """
        try:
            connection = await self._pool.acquire(
                replica.replica_id, replica.address
            )
        except exceptions.AnvilwellError as error:
            return Ended(End.UNREACHABLE, cause=error.message)
        reply = None
        ended = Ended(End.STOPPED)
        try:
            reply, ended = await self._run(connection, order, replica, pace)
        except exceptions.AnvilwellError as error:
            is_cut = error.reason is reasons.Refusal.ANSWER_CUT
            ended = Ended(End.BROKEN, cause=error.message, is_cut=is_cut)
        except TimeoutError:
            ended = Ended(End.STALLED)
        finally:
            if reply and ended.end in (End.WHOLE, End.REFUSED):
                self._pool.release(replica.replica_id, connection, reply)
            else:
                connection.close()
        return ended

    async def _run(self, connection, order, replica, pace):
        headers = self._dialect.replica_headers(
            self._dialect.item_headers(order.item, order.host),
            replica.name,
            order.timeout_s,
            order.progress.last_number,
            order.organisation,
        )
        connection.send("POST", order.item.target, headers, order.item.body)
        async with asyncio.timeout(events.STALL_TIMEOUT_S):
            reply = await connection.read_head()
        outcome = self._dialect.read_response_head(reply)
        if outcome.load:
            pace.record_load(outcome.load, asyncio.get_running_loop().time())
        ended = _judge(reply, outcome, order)
        if ended is None:
            return await self._read(
                connection, order, reply, outcome.version, pace
            )
        if ended.end is End.REFUSED:
            async with asyncio.timeout(events.STALL_TIMEOUT_S):
                await connection.read_body(events.MAX_BLOCK_BYTES)
        return reply, ended

    async def _read(self, connection, order, reply, version, pace):
        """Collect events until the stream ends."""
        loop = asyncio.get_running_loop()
        buffered = b""
        last_at = None
        while True:
            async with asyncio.timeout(events.STALL_TIMEOUT_S):
                part = await connection.read_chunk()
            if not part:
                break
            buffered += part.replace(b"\r\n", b"\n")
            *blocks, buffered = buffered.split(events.BLOCK_END)
            if len(buffered) > events.MAX_BLOCK_BYTES:
                raise client.call_error("an event is too large")
            for block in blocks:
                event = self._dialect.read_event(block)
                if event is None:
                    continue
                version = event.version or version
                if not _may_use(version, order):
                    return reply, Ended(End.TOO_OLD, version)
                _add(order.progress, event, version)
                now = loop.time()
                if last_at is not None:
                    pace.record_gap(now - last_at, now)
                last_at = now
        if buffered.strip():
            raise client.call_error(
                "the stream ends within an event", reasons.Refusal.ANSWER_CUT
            )
        return reply, Ended(End.WHOLE, version)


def _add(progress, event, version):
    try:
        progress.add(event, version)
    except progresses.EventGap as error:
        raise client.call_error(f"events are missing: {error}") from error


def _may_use(version, order):
    if version < order.min_version:
        return False
    versions = order.progress.versions
    return not (order.one_version and versions and version not in versions)


def _judge(reply, outcome, order):
    """Return how the head ends the run, or None if it goes on."""
    if outcome.request_id not in ("", order.item.item_id):
        return Ended(End.BROKEN, cause="the answer is another request's")
    if outcome.is_other:
        return Ended(End.OTHER_REPLICA, outcome.version)
    if outcome.not_run:
        return Ended(End.REFUSED, outcome.version, str(reply.status))
    if reply.status == 500:
        return Ended(End.FAILED, cause="500")
    if reply.status == 422:
        return Ended(End.IMPOSSIBLE, cause="422")
    if reply.status != 200 or not outcome.is_sealed:
        return Ended(End.BROKEN, cause=f"status {reply.status}")
    if not _may_use(outcome.version, order):
        return Ended(End.TOO_OLD, outcome.version)
    return None
