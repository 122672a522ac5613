"""Saves texts under way, so that an owner's death costs little."""

import asyncio
import contextlib

from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# A new owner repeats at most so much of a text, plus what is too short, in
# seconds. After a loss of all processes a long item has about a second to
# spare.
SAVE_INTERVAL_S = 0.7
# Unfinished texts of fewer events are made again in less than half a
# second; whole ones are kept whatever their length.
MIN_SAVED_EVENTS = 10

_LOG = logs.get_logger(__name__)


class Saver:
    """Writes the longer unlisted texts of one batch now and then.

    Parameters
    ----------
    batch_store : records.BatchStore
        Where batches lie.
    held : held.Held
        The batch.
    """

    def __init__(self, batch_store, batch):
        self._store = batch_store
        self._batch = batch
        self._saved_size = (0, 0)

    async def run(self):
        """Save until nothing of the batch runs any more."""
        batch = self._batch
        while not self._is_settled:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SAVE_INTERVAL_S):
                    await batch.save_requested.wait()
            batch.save_requested.clear()
            await self._save()

    @property
    def _is_settled(self):
        return self._batch.state.needs_no_runs

    async def _save(self):
        reusable_texts = self._batch.reusable_texts(MIN_SAVED_EVENTS)
        size = (
            sum(len(progress.events) for progress in reusable_texts),
            sum(progress.score is not None for progress in reusable_texts),
        )
        if self._is_settled or size == self._saved_size:
            return
        self._batch.has_unsaved_texts = True
        try:
            await self._store.save(
                self._batch.batch_id,
                [progress.save() for progress in reusable_texts],
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
