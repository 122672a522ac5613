"""One batch that this process owns."""

import asyncio
import contextlib

from anvilwell_decisions.batches import batch_state as batch_states
from anvilwell_decisions.batches import item_order
from anvilwell_gateway import tasks


class OwnedBatch:
    """A batch, its book and who waits for it.

    Parameters
    ----------
    claimed : records.Claimed
        Our ownership.
    route : facts.Route
        The route that it was accepted on.
    submission : facts.Submission
        What it asks for.
    give_up_at : float
        Event-loop time at which the rest is given up.
    """

    def __init__(self, claim, route, submission, abandon_at):
        self.claim = claim
        self.route = route
        self.submission = submission
        self.abandon_at = abandon_at
        submitted_at = abandon_at - route.max_queue_s
        self.late_at = item_order.too_late_at(submitted_at, route.due_s)
        self.opened_at = asyncio.get_running_loop().time()
        self.state = batch_states.BatchState(
            submission, route.max_replicas, route.one_version
        )
        self.chunks = 0
        # Sorts batches: the one submitted first goes first.
        self.sequence = (0.0, 0)
        self.service = ""
        self.tasks_by_item = {}
        self.runs_by_item = {}
        self.scorings_by_item = {}
        self.fingerprints_by_item = {}
        self.committer = None
        self.saver = None
        self.has_new_results = asyncio.Event()
        self.save_requested = asyncio.Event()
        # A save has failed or is under way.
        self.has_unsaved_texts = False
        self._changed = asyncio.Event()
        self._is_stopped = False
        self._no_write_pending = asyncio.Event()
        self._no_write_pending.set()

    @property
    def batch_id(self):
        """The batch's id."""
        return self.submission.batch_id

    @property
    def has_pending_write(self):
        """Whether the store may list more than the book."""
        return not self._no_write_pending.is_set()

    def begin_write(self):
        """Note that results may land from now on."""
        self._no_write_pending.clear()

    def mark_listed(self, results):
        """List results that are committed, and wake who waits."""
        self.state.mark_listed(results)
        self._no_write_pending.set()
        self._wake()

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_listed(self, position, wait_s):
        """Wait until a result stands at `position`, at most `wait_s`.

        Ends sooner if the batch is held no more.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while (
                    not self.covers_position(position) and not self._is_stopped
                ):
                    await self._changed.wait()

    def covers_position(self, position):
        """Return whether the book tells what will ever be at `position`.

        Nothing comes behind the last one, so a whole book tells of all.
        """
        return len(self.state.listed) > min(position, self.state.total - 1)

    async def wait_for_pending_write(self, wait_s):
        """Wait until no write is under way, at most `wait_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._no_write_pending.wait()

    def reusable_texts(self, min_events=1):
        """Return the `Progress` of the unlisted texts that can be used on.

        They are whole ones, and those that may be resumed and have at
        least so many events.
        """
        may_resume = self.route.is_resumable
        return [
            progress
            for progress in self.state.unlisted_progress()
            if progress.is_complete
            or (may_resume and len(progress.events) >= min_events)
        ]

    def cancel_runs(self, cause):
        """Cancel all runs and scoring calls; `cause` goes to the log."""
        for task in self._tasks():
            task.cancel(cause)

    def _tasks(self):
        return [*self.tasks_by_item.values(), *self.scorings_by_item.values()]

    async def stop(self, cause):
        """Stop all that runs for the batch; `cause` says why in the log."""
        self._is_stopped = True
        self._wake()
        await tasks.stop(
            *self._tasks(), self.committer, self.saver, cause=cause
        )
