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
GATHER_S = 0.25

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

    def __init__(self, batch_store, batch, on_taken):
        self._store = batch_store
        self._batch = batch
        self._on_taken = on_taken

    async def run(self):
        """Commit whatever is ready, until the batch is lost."""
        batch = self._batch
        loop = asyncio.get_running_loop()
        wrote_s = 0.0
        while True:
            await batch.has_ready.wait()
            batch.has_ready.clear()
            if not batch.book.listable_results():
                continue
            # What came during a long write has waited enough.
            await self._gather(GATHER_S - wrote_s)
            results = sizes.fitting(
                batch.book.listable_results(), records.MAX_VALUE_BYTES
            )
            if not results:
                continue
            began_at = loop.time()
            batch.begin_write()
            if not await self._append(results):
                return
            wrote_s = loop.time() - began_at
            batch.chunks += 1
            batch.list(results)
            _LOG.routine(
                "results-listed",
                batch_id=batch.batch_id,
                chunk=batch.chunks - 1,
                listed=len(batch.book.listed),
                took_s=round(wrote_s, 3),
            )
            batch.has_ready.set()

    async def _gather(self, wait_s):
        """Wait for more groups while the trainer needs more than are whole."""
        batch = self._batch
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, wait_s)):
                while not batch.book.has_enough_groups:
                    await batch.has_ready.wait()
                    batch.has_ready.clear()

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
                self._on_taken(batch, error.message)
                return False
            except exceptions.AnvilwellError as error:
                _LOG.log(
                    "results-not-committed",
                    batch_id=batch.batch_id,
                    cause=error.message,
                )
