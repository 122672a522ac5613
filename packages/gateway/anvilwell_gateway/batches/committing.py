"""Commits the results of one batch to the store, one write at a time."""

import asyncio
import contextlib

from anvilwell_gateway.batches import records
from anvilwell_gateway.batches import sizes
from anvilwell_gateway.batches import uploads
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# Groups that become complete within this time share one write. The delay ends
# early once the trainer has all the groups that it waits for. A trainer polls
# every half second: if the first of a step's last two groups were listed
# alone, the trainer would read the second half a second later.
GROUPING_DELAY_S = 0.25

_LOG = logs.get_logger(__name__)


class Committer:
    """Writes complete groups to the store and lists them afterwards.

    Parameters
    ----------
    batch_store : records.BatchStore
        Stores the results.
    batch : owned_batch.OwnedBatch
        The batch.
    on_ownership_lost : callable
        Called with ``(batch, cause)`` if another process owns the batch.
    """

    def __init__(self, batch_store, batch, on_ownership_lost):
        self._store = batch_store
        self._batch = batch
        self._on_ownership_lost = on_ownership_lost

    async def run(self):
        """Commit results of complete groups until ownership is lost."""
        batch = self._batch
        loop = asyncio.get_running_loop()
        write_s = 0.0
        while True:
            await batch.has_new_results.wait()
            batch.has_new_results.clear()
            if not batch.state.listable_results():
                continue
            # Results that arrived during a long write have already waited.
            await self._wait_for_more_groups(GROUPING_DELAY_S - write_s)
            results = sizes.fit_results(
                batch.state.listable_results(), uploads.MAX_VALUE_BYTES
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
        """Wait for more groups unless the trainer's last ones are complete."""
        batch = self._batch
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, wait_s)):
                while not batch.state.has_enough_groups:
                    await batch.has_new_results.wait()
                    batch.has_new_results.clear()

    async def _append(self, results):
        """Write one chunk; return False if another process owns the batch.

        A write whose outcome is unknown may still take effect later, so it
        is repeated and no other results are written under its chunk number.
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
