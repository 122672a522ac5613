"""Runs attempts as tasks and settles which version made each token."""

import asyncio

from anvilwell_daemon.runs import generator as generators
from anvilwell_decisions.samples import versions
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs

_LOG = logs.get_logger(__name__)


class Attempts:
    """The attempts under way in this process.

    Parameters
    ----------
    generator : generator.Generator
        What streams tokens.
    on_end : callable
        ``on_end(attempt, outcome)``; `outcome` is None if it failed.
    """

    def __init__(self, generator, on_end):
        self._generator = generator
        self._on_end = on_end
        self._tasks_by_attempt = {}
        self._streams_by_replica = {}

    def start(self, number, replica_id, attempt):
        """Begin an attempt; its end is told to ``on_end``."""
        task = asyncio.create_task(self._run(number, replica_id, attempt))
        self._tasks_by_attempt[number] = task
        task.add_done_callback(
            lambda _: self._tasks_by_attempt.pop(number, None)
        )

    def cancel(self, number):
        """Give up an attempt; its end is not told."""
        task = self._tasks_by_attempt.pop(number, None)
        if task:
            task.cancel()

    async def stop(self):
        """Give up every attempt."""
        tasks = list(self._tasks_by_attempt.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def swap_begun(self, replica_id):
        """Note that a replica's version begins to change."""
        for stream in self._streams_by_replica.get(replica_id, ()):
            stream.swap_begun()

    def swap_ended(self, replica_id, version):
        """Note that a replica surely has `version` now."""
        for stream in self._streams_by_replica.get(replica_id, ()):
            doubt = stream.swap_ended(version)
            if doubt is not None:
                stream.spoiled = True

    async def _run(self, number, replica_id, attempt):
        stream = _Stream()
        streams = self._streams_by_replica.setdefault(replica_id, set())
        streams.add(stream)
        try:
            outcome = await self._follow(stream, replica_id, attempt)
        except exceptions.AnvilwellError as error:
            counters.count_retry(reasons.Retry.BACKEND_FAILED, attempt.service)
            _LOG.log(
                "attempt-failed",
                attempt=attempt.attempt_id,
                replica=replica_id,
                error=error.message,
            )
            outcome = None
        finally:
            streams.discard(stream)
        self._on_end(number, outcome)

    async def _follow(self, stream, replica_id, attempt):
        pieces = self._generator.stream(replica_id, attempt)
        async for piece in pieces:
            stream.piece(piece)
            if stream.spoiled:
                await pieces.aclose()
                return None
        if stream.in_doubt or stream.spoiled or not stream.runs:
            counters.count_retry(reasons.Retry.STALE_VERSION, attempt.service)
            return None
        text = "".join(run.text for run in stream.runs)
        return generators.Outcome(text, stream.runs)


class _Stream(versions.StreamVersions):
    """A stream; ``spoiled`` once tokens had to be discarded."""

    spoiled = False
