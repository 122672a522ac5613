"""Lists the results of one batch, a write at a time."""

import asyncio
import contextlib

from anvilwell_gateway.batches import records
from anvilwell_gateway.batches import sizes
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# Groups that are whole within this time share one write, unless they are all
# that the trainer waits for. It reads each half second, so that of two groups
# that end a step the second is seen that much later if the first one is
# listed alone.
GROUPING_DELAY_S = 0.25

_LOG = logs.get_logger(__name__)


class Committer:
    """Writes whole groups to the store, and lists them once they are.

    Parameters
    ----------
    batch_store : records.BatchStore
        Where batches lie.
    held : held.Held
        The batch.
    on_taken : callable
        Told ``(held, cause)`` if the batch is another process's now.
    """

    def __init__(self, batch_store, batch, on_ownership_lost):
        self._store = batch_store
        self._batch = batch
        self._on_ownership_lost = on_ownership_lost

    async def run(self):
        """Commit whatever is ready, until the batch is lost."""
        batch = self._batch
        loop = asyncio.get_running_loop()
        write_s = 0.0
        while True:
            await batch.has_new_results.wait()
            batch.has_new_results.clear()
            if not batch.state.listable_results():
                continue
            # What came during a long write has waited enough.
            await self._wait_for_more_groups(GROUPING_DELAY_S - write_s)
            results = sizes.fit_results(
                batch.state.listable_results(), records.MAX_VALUE_BYTES
            )
            if not results:
                continue
            started_at = loop.time()
            batch.begin_write()
            if not await self._append(results):
                return
            write_s = loop.time() - started_at
            batch.chunks += 1
            batch.mark_listed(results)
            _LOG.routine(
                "results-listed",
                batch_id=batch.batch_id,
                chunk=batch.chunks - 1,
                listed=len(batch.state.listed),
                took_s=round(write_s, 3),
            )
            batch.has_new_results.set()

    async def _wait_for_more_groups(self, wait_s):
        """Wait for more groups while the trainer needs more than are whole."""
        batch = self._batch
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, wait_s)):
                while not batch.state.has_enough_groups:
                    await batch.has_new_results.wait()
                    batch.has_new_results.clear()

    async def _append(self, results):
        """Write one chunk; return whether the batch is still ours.

        A write whose outcome is unknown may land late, so nothing else
        is written under its number.
        """
        batch = self._batch
        while True:
            try:
                await self._store.append(
                    batch.batch_id, batch.claim, batch.chunks, results
                )
                return True
            except records.OwnedElsewhere as error:
                self._on_ownership_lost(batch, error.message)
                return False
            except exceptions.AnvilwellError as error:
                _LOG.log(
                    "results-not-committed",
                    batch_id=batch.batch_id,
                    cause=error.message,
                )
