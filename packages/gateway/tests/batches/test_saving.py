"""Tests that failed saves are repeated once the store answers again."""

import asyncio
import types

from anvilwell_decisions.batches import progress
from anvilwell_gateway.batches import manager as managers
from anvilwell_gateway.batches import saving
from anvilwell_kernel import exceptions


class _Store:
    def __init__(self):
        self.is_down = True
        self.saved_at = []

    async def save(self, batch_id, claim, saved):
        if self.is_down:
            raise exceptions.KeyValueUnavailable("down")
        self.saved_at.append(asyncio.get_running_loop().time())


def _batch():
    text = progress.Progress("i1")
    text.events = ["a"] * saving.MIN_SAVED_EVENTS
    return types.SimpleNamespace(
        batch_id="b1",
        claim=None,
        state=types.SimpleNamespace(needs_no_runs=False),
        progress_to_save=lambda min_events: [text.save()],
        save_requested=asyncio.Event(),
        has_unsaved_texts=False,
    )


def test_a_failed_save_is_repeated_once_the_store_answers(run_virtual):
    store = _Store()

    async def scenario():
        batch = _batch()
        saver = asyncio.create_task(saving.Saver(store, batch).run())
        # The first save fails; the next regular one is due after another
        # interval.
        await asyncio.sleep(saving.SAVE_INTERVAL_S + 0.1)
        store.is_down = False
        batches_by_id = {"b1": batch}
        managers.BatchManager.retry_failed_saves(
            types.SimpleNamespace(batches_by_id=batches_by_id)
        )
        await asyncio.sleep(0.01)
        saver.cancel()
        return batch.has_unsaved_texts

    assert run_virtual(scenario()) is False
    assert store.saved_at == [saving.SAVE_INTERVAL_S + 0.1]


def test_saved_texts_are_not_saved_again_when_the_store_answers(run_virtual):
    async def scenario():
        batch = _batch()
        batches_by_id = {"b1": batch}
        managers.BatchManager.retry_failed_saves(
            types.SimpleNamespace(batches_by_id=batches_by_id)
        )
        return batch.save_requested.is_set()

    assert run_virtual(scenario()) is False
