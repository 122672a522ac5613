"""Lists the results of one batch, a write at a time."""

import asyncio

from anvilwell_gateway.batches import records
from anvilwell_gateway.batches import sizes
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# Results that come within this time share one write. It delays a group
# by at most as much, and saves about half of the writes.
GATHER_S = 0.06

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

    def __init__(self, batch_store, held, on_taken):
        self._store = batch_store
        self._held = held
        self._on_taken = on_taken

    async def run(self):
        """Commit whatever is ready, until the batch is lost."""
        held = self._held
        while True:
            await held.has_ready.wait()
            await asyncio.sleep(GATHER_S)
            held.has_ready.clear()
            results = sizes.fitting(held.book.ready(), records.MAX_VALUE_BYTES)
            if not results:
                continue
            if not await self._append(results):
                return
            held.chunks += 1
            held.list(results)
            held.has_ready.set()

    async def _append(self, results):
        """Write one chunk; return whether the batch is still ours.

        A write whose outcome is unknown may land late, so nothing else
        is written under its number.
        """
        held = self._held
        while True:
            try:
                await self._store.append(
                    held.batch_id, held.claimed, held.chunks, results
                )
                return True
            except records.Taken as error:
                self._on_taken(held, error.message)
                return False
            except exceptions.AnvilwellError as error:
                _LOG.log(
                    "results-not-committed",
                    batch_id=held.batch_id,
                    cause=error.message,
                )
