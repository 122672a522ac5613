"""The state of one batch that this process owns."""

import asyncio
import contextlib

from anvilwell_decisions.batches import batch_state as batch_states
from anvilwell_decisions.batches import item_order
from anvilwell_decisions.requests import byte_budget
from anvilwell_gateway import tasks


class OwnedBatch:
    """A batch, the state of its items, its tasks and its waiting readers.

    Parameters
    ----------
    claim : records.Claim
        The claim by which this process owns the batch.
    route : facts.Route
        The route on which it was accepted.
    submission : facts.Submission
        Its items and bounds.
    abandon_at : float
        Event-loop time at which its unfinished items are abandoned.
    """

    def __init__(self, claim, route, submission, abandon_at):
        self.claim = claim
        self.route = route
        self.abandon_at = abandon_at
        submitted_at = abandon_at - route.max_queue_s
        self.late_at = item_order.too_late_at(submitted_at, route.due_s)
        self.opened_at = asyncio.get_running_loop().time()
        self.state = batch_states.BatchState(
            submission, route.max_replicas, route.one_version
        )
        self.submission = self.state.submission
        self._memory = None
        self.chunks = 0
        # Sort key of batches: the one that was submitted first runs first.
        self.sequence = (0.0, 0)
        self.service = ""
        self.tasks_by_item = {}
        self.runs_by_item = {}
        self.scorings_by_item = {}
        self.committer = None
        self.saver = None
        self.has_new_results = asyncio.Event()
        self.save_requested = asyncio.Event()
        # True while a save is in progress and after one has failed.
        self.has_unsaved_texts = False
        self._changed = asyncio.Event()
        self._is_stopped = False
        self._no_write_pending = asyncio.Event()
        self._no_write_pending.set()

    @property
    def batch_id(self):
        """The id of the batch."""
        return self.submission.batch_id

    def charge(self, budget):
        """Hold memory for the bodies of the items as long as it is needed."""
        self._memory = byte_budget.Hold(budget, self.state.body_bytes)

    def _release_memory(self, needed_bytes):
        if self._memory:
            self._memory.shrink_to(needed_bytes)

    @property
    def has_pending_write(self):
        """Whether the store may have results that ``state`` does not list."""
        return not self._no_write_pending.is_set()

    def begin_write(self):
        """Record that a write of results is in progress."""
        self._no_write_pending.clear()

    def mark_listed(self, results):
        """List results that are committed, and wake the waiting readers."""
        self.state.mark_listed(results)
        self._release_memory(self.state.body_bytes)
        self._no_write_pending.set()
        self._wake()

    def mark_ended(self):
        """Record that the trainer ended the batch."""
        self.state.mark_ended()
        self._release_memory(self.state.body_bytes)

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_listed(self, position, wait_s):
        """Wait at most `wait_s` for the result at `position`.

        Returns early if this process stops running the batch.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while (
                    not self.covers_position(position) and not self._is_stopped
                ):
                    await self._changed.wait()

    def covers_position(self, position):
        """Return whether the content of `position` is final.

        It is if a result is listed there, or if all results are listed, as
        no result can follow the last one.
        """
        return len(self.state.listed) > min(position, self.state.total - 1)

    async def wait_for_pending_write(self, wait_s):
        """Wait at most `wait_s` until no write of results is in progress."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._no_write_pending.wait()

    def reusable_texts(self, min_events=1):
        """Return the `Progress` of unlisted texts that can be used again.

        These are complete texts, and on routes that allow resuming also
        incomplete ones of at least `min_events` events.
        """
        may_resume = self.route.is_resumable
        return [
            progress
            for progress in self.state.unlisted_progress()
            if progress.is_complete
            or (may_resume and len(progress.events) >= min_events)
        ]

    def progress_to_save(self, min_events=1):
        """Return the `SavedProgress` that the next owner needs.

        These are the reusable texts, and the failures of all items that are
        not listed.
        """
        saved_by_id = {
            failed.item_id: failed for failed in self.state.unlisted_failures()
        }
        for progress in self.reusable_texts(min_events):
            saved_by_id[progress.item_id] = progress.save()
        return list(saved_by_id.values())

    def save_if_abandoned(self, item_id):
        """Save at once that an item was abandoned, if it was.

        The next owner would run it again otherwise.
        """
        if self.state.state(item_id) is batch_states.ItemState.ABANDONED:
            self.save_requested.set()

    def cancel_runs(self, cause):
        """Cancel all runs and scoring calls; `cause` is logged."""
        for task in self._tasks():
            task.cancel(cause)

    def _tasks(self):
        return [*self.tasks_by_item.values(), *self.scorings_by_item.values()]

    async def stop(self, cause):
        """Stop all tasks of the batch; `cause` is logged as the reason."""
        self._is_stopped = True
        self._wake()
        await tasks.stop(
            *self._tasks(), self.committer, self.saver, cause=cause
        )
        self._release_memory(0)
