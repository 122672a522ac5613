"""Saves unfinished texts and failures of items for the next owner."""

import asyncio
import contextlib

from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# Interval between saves, in seconds. A new owner repeats at most this much of
# each text, and texts shorter than MIN_SAVED_EVENTS. A long item has little
# time to spare after a loss of all processes.
SAVE_INTERVAL_S = 0.7
# Unfinished texts of fewer events are not saved: they are generated again in
# less than half a second. Complete texts are saved whatever their length.
MIN_SAVED_EVENTS = 10

_LOG = logs.get_logger(__name__)


class Saver:
    """Periodically saves texts of one batch, and failures of its items.

    These are the texts of items whose results are not yet listed in the store.
    Incomplete texts are saved if they have at least `MIN_SAVED_EVENTS` events
    and their route allows resuming.

    Parameters
    ----------
    batch_store : records.BatchStore
        Stores the texts.
    batch : owned_batch.OwnedBatch
        The batch.
    """

    def __init__(self, batch_store, batch):
        self._store = batch_store
        self._batch = batch
        self._saved_size = (0, 0, 0, 0)

    async def run(self):
        """Save until no item of the batch has to run any more."""
        batch = self._batch
        while not self._needs_no_runs:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SAVE_INTERVAL_S):
                    await batch.save_requested.wait()
            batch.save_requested.clear()
            await self._save()

    @property
    def _needs_no_runs(self):
        return self._batch.state.needs_no_runs

    async def _save(self):
        progress = self._batch.progress_to_save(MIN_SAVED_EVENTS)
        size = (
            sum(len(one.events) for one in progress),
            sum(one.score is not None for one in progress),
            sum(one.failures + one.scoring_failures for one in progress),
            sum(one.is_abandoned for one in progress),
        )
        if self._needs_no_runs or size == self._saved_size:
            return
        self._batch.has_unsaved_texts = True
        try:
            await self._store.save(
                self._batch.batch_id, self._batch.claim, progress
            )
        except exceptions.AnvilwellError as error:
            _LOG.log(
                "texts-not-saved",
                batch_id=self._batch.batch_id,
                cause=error.message,
            )
            return
        self._batch.has_unsaved_texts = False
        self._saved_size = size
