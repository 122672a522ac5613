"""Runs one item at one replica and collects the events of its text."""

import asyncio
import enum
import typing

from anvilwell_decisions.batches import progress as progresses
from anvilwell_gateway import events
from anvilwell_gateway.http import client
from anvilwell_gateway.http import connection_records
from anvilwell_gateway import responses
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons


class RunEnd(enum.StrEnum):
    """How a run ended.

    ``EVACUATED`` means that the failure domain was evacuated before the item
    was sent, ``OTHER_REPLICA`` that another replica answers at the address,
    ``TOO_OLD`` that the version does not satisfy the bounds of the batch, and
    ``IMPOSSIBLE`` that the replica rejected the item itself. With
    ``HELD_BACK`` the item was not sent, as the replica may be cold.
    """

    WHOLE = "whole"
    REFUSED = "refused"
    EVACUATED = "evacuated"
    OTHER_REPLICA = "other-replica"
    TOO_OLD = "too-old"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    STALLED = "stalled"
    STOPPED = "stopped"
    HELD_BACK = "held-back"


class RunResult(typing.NamedTuple):
    """The result of a run.

    ``version`` is the model version that the replica reported, 0 if it
    reported none.
    """

    end: RunEnd
    version: int = 0
    cause: str = ""


class RunRequest(typing.NamedTuple):
    """An item to run, its text so far, and the bounds of its run.

    ``permit`` is the `send_windows.Permit` for a replica that may be cold.
    """

    item: typing.Any
    host: str
    progress: progresses.Progress
    min_version: int
    one_version: bool
    timeout_s: float
    organisation: str = ""
    permit: typing.Any = None


class Runner:
    """Runs items at replicas.

    Parameters
    ----------
    dialect : dialect.Dialect
        Encodes requests to replicas and decodes their responses.
    pool : connection_pool.Pool
        Connections to the replicas.
    may_receive : callable
        Returns whether a replica may be sent an item now.
    """

    def __init__(self, dialect, pool, may_receive):
        self._may_receive = may_receive
        self._dialect = dialect
        self._pool = pool

    async def run(self, run_request, replica, pace):
        """Run an item at `replica` and return the `RunResult`.

        The load in the response's head and the gaps between events are
        recorded in ``pace`` (`paces.Pace`). All complete events are added to
        the progress in `run_request`, however the run ends.
        """
        if not self._may_receive(replica):
            return RunResult(RunEnd.EVACUATED)
        try:
            connection = await self._pool.acquire(
                replica.replica_id,
                replica.address,
                use=connection_records.Use.of_replica(
                    replica, reasons.Work.ITEM, run_request.item.item_id
                ),
            )
        except exceptions.AnvilwellError as error:
            return RunResult(RunEnd.UNREACHABLE, cause=error.message)
        reply = None
        result = RunResult(RunEnd.STOPPED)
        try:
            reply, result = await self._run(
                connection, run_request, replica, pace
            )
        except exceptions.AnvilwellError as error:
            result = RunResult(RunEnd.BROKEN, cause=error.message)
        except TimeoutError:
            result = RunResult(RunEnd.STALLED)
        finally:
            if reply and result.end in (RunEnd.WHOLE, RunEnd.REFUSED):
                self._pool.release(replica.replica_id, connection, reply)
            else:
                connection.close()
        return result

    async def _run(self, connection, run_request, replica, pace):
        if not self._may_receive(replica):
            return None, RunResult(RunEnd.EVACUATED)
        headers = self._dialect.replica_headers(
            self._dialect.item_headers(run_request.item, run_request.host),
            replica.name,
            run_request.timeout_s,
            run_request.progress.last_number,
            run_request.organisation,
        )
        permit = run_request.permit
        if permit and not permit.use(asyncio.get_running_loop().time()):
            return None, RunResult(RunEnd.HELD_BACK)
        connection.send(
            "POST", run_request.item.target, headers, run_request.item.body
        )
        async with asyncio.timeout(events.STALL_TIMEOUT_S):
            reply, outcome = await responses.read_head(
                connection, self._dialect, run_request.item.item_id
            )
        if outcome.load:
            pace.record_load(outcome.load, asyncio.get_running_loop().time())
        result = _classify_response_head(reply, outcome, run_request)
        if result is None:
            return await self._read(
                connection, run_request, reply, outcome.version, pace
            )
        if result.end is RunEnd.REFUSED:
            async with asyncio.timeout(events.STALL_TIMEOUT_S):
                await connection.read_body(events.MAX_BLOCK_BYTES)
        return reply, result

    async def _read(self, connection, run_request, reply, version, pace):
        """Add events to the progress until the stream ends."""
        loop = asyncio.get_running_loop()
        reader = events.EventReader(connection, self._dialect.read_event)
        last_at = None
        while received := await reader.read(events.STALL_TIMEOUT_S):
            for event, _ in received:
                version = event.version or version
                if not _is_version_allowed(version, run_request):
                    return reply, RunResult(RunEnd.TOO_OLD, version)
                _add_event(run_request.progress, event, version)
                now = loop.time()
                if last_at is not None:
                    pace.record_gap(now - last_at, now)
                last_at = now
        return reply, RunResult(RunEnd.WHOLE, version)


def _add_event(progress, event, version):
    try:
        progress.add(event, version)
    except progresses.EventGap as error:
        raise client.call_error(f"events are missing: {error}") from error


def _is_version_allowed(version, run_request):
    if version < run_request.min_version:
        return False
    versions = run_request.progress.versions
    return not (
        run_request.one_version and versions and version not in versions
    )


def _classify_response_head(reply, outcome, run_request):
    """Return the result if the head ends the run, else None."""
    if outcome.is_other:
        return RunResult(RunEnd.OTHER_REPLICA, outcome.version)
    if outcome.not_run:
        return RunResult(RunEnd.REFUSED, outcome.version, str(reply.status))
    if reply.status == 500:
        return RunResult(RunEnd.FAILED, cause="500")
    if reply.status == 422:
        return RunResult(RunEnd.IMPOSSIBLE, cause="422")
    if reply.status != 200 or not outcome.is_sealed:
        return RunResult(RunEnd.BROKEN, cause=f"status {reply.status}")
    if not _is_version_allowed(outcome.version, run_request):
        return RunResult(RunEnd.TOO_OLD, outcome.version)
    return None
