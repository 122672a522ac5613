"""Deletes batches that nobody may ask for any more."""

import asyncio

from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# Results stay readable for 120 s after the submission; the rest is for
# clocks that differ and reads under way.
KEEP_S = 180.0
LOOK_S = 20.0

_LOG = logs.get_logger(__name__)


class Retention:
    """Has each owner delete its settled batches after their time.

    Parameters
    ----------
    batch_store : records.BatchStore
        Where batches lie.
    holder : holder.Holder
        The batches of this process.
    """

    def __init__(self, batch_store, holder):
        self._store = batch_store
        self._holder = holder
        self._task = None

    def start(self):
        """Begin to look."""
        self._task = asyncio.create_task(self._run())

    async def stop(self):
        """Look no more."""
        if self._task:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self):
        while True:
            await asyncio.sleep(LOOK_S)
            await self.remove_old(asyncio.get_running_loop().time())

    async def remove_old(self, now):
        """Delete what was settled and opened `KEEP_S` before `now`."""
        old = [
            held
            for held in self._holder.held_by_id.values()
            if held.book.is_settled and now - held.opened_at > KEEP_S
        ]
        for held in old:
            try:
                await self._store.remove(
                    held.batch_id, held.claimed.owner.parts, held.chunks
                )
            except exceptions.AnvilwellError as error:
                _LOG.log(
                    "batch-not-deleted",
                    batch_id=held.batch_id,
                    cause=error.message,
                )
                return
            self._holder.held_by_id.pop(held.batch_id, None)
            await held.stop("the batch is deleted")
            _LOG.log("batch-deleted", batch_id=held.batch_id)
