"""Runs attempts as tasks and settles which version made each token."""

import asyncio
import contextlib

from anvilwell_daemon.runs import generator as generators
from anvilwell_decisions.samples import versions
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs

TAG_LAG_S = 1.0

_LOG = logs.get_logger(__name__)


class Attempts:
    """The attempts under way in this process.

    Parameters
    ----------
    generator : generator.Generator
        What streams tokens, and knows the replicas' versions.
    clock : clock.Clock
        Source of time.
    on_end : callable
        ``on_end(attempt, outcome)``; `outcome` is None if it failed.
    on_done : callable
        Takes each attempt's task when it is done, also by a fault.
    """

    def __init__(self, generator, clock, on_end, on_done):
        self._generator = generator
        self._clock = clock
        self._on_end = on_end
        self._on_done = on_done
        self._tasks_by_attempt = {}
        self._tokens_by_attempt = {}

    @property
    def tokens_by_attempt(self):
        """How many tokens each attempt has so far."""
        return self._tokens_by_attempt

    def start(self, number, replica_id, attempt):
        """Begin an attempt; its end is told to ``on_end``."""
        task = asyncio.create_task(self._run(number, replica_id, attempt))
        self._tasks_by_attempt[number] = task
        task.add_done_callback(
            lambda _: self._tasks_by_attempt.pop(number, None)
        )
        task.add_done_callback(self._on_done)

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

    async def _run(self, number, replica_id, attempt):
        self._tokens_by_attempt[number] = 0
        try:
            with _LOG.action(
                "attempt", attempt=attempt.attempt_id, replica=replica_id
            ):
                outcome = await self._follow(number, replica_id, attempt)
        except exceptions.AnvilwellError as error:
            counters.count_retry(reasons.Retry.BACKEND_FAILED, attempt.service)
            _LOG.log("attempt-failed", cause=error.message)
            outcome = None
        finally:
            self._tokens_by_attempt.pop(number, None)
        self._on_end(number, outcome)

    async def _follow(self, number, replica_id, attempt):
        stream = versions.StreamVersions(TAG_LAG_S)
        pieces = self._generator.stream(replica_id, attempt)
        async with contextlib.aclosing(pieces):
            async for piece in pieces:
                versions.ordinal(piece.version)
                stream.piece(piece, self._clock.monotonic())
                self._tokens_by_attempt[number] += piece.tokens
                if stream.is_doubtful:
                    break
        if not stream.is_doubtful:
            await self._settle(stream, replica_id, attempt)
        if stream.is_doubtful or not stream.runs:
            counters.count_retry(reasons.Retry.STALE_VERSION, attempt.service)
            return None
        text = "".join(run.text for run in stream.runs)
        return generators.Outcome(text, stream.runs)

    async def _settle(self, stream, replica_id, attempt):
        desired = self._generator.desired_version(attempt.service)
        if stream.last == desired:
            return
        await asyncio.sleep(TAG_LAG_S)
        stream.settle(self._generator.replica_version(replica_id))
