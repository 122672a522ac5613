"""Owns batches: opens and ends them, and lets go of them."""

import asyncio

from anvilwell_gateway.batches import committing
from anvilwell_gateway.batches import saving
from anvilwell_gateway.batches import scheduler as schedulers
from anvilwell_gateway.batches import scorer as scorers
from anvilwell_gateway import measures
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

_LEAVING = "this entry stops"
_REPLACED = "this entry claimed the batch again"

_LOG = logs.get_logger(__name__)


class Holder:
    """Keeps the batches that this process owns, and what runs for each.

    Parameters
    ----------
    batch_store : records.BatchStore
        Where batches lie.
    directory : directory.Directory
        The replicas.
    configuration : configuration.ConfigurationFollower
        The routes in force.
    runner : runners.Runner
        What runs an item.
    forwarder : forwarding.Forwarder
        The way of scoring calls.
    dialect : dialect.Dialect
        How those are written.
    crash_tracker : crash_tracker.CrashTracker
        Which items end replicas.
    sharing : sharing.Sharing
        Knows which places are for this entry.
    """

    def __init__(
        self,
        batch_store,
        directory,
        configuration,
        runner,
        forwarder,
        dialect,
        crash_tracker,
        sharing,
    ):
        self._store = batch_store
        self._configuration = configuration
        self._sequence = 0
        self._tasks = set()
        self.on_lost = _nothing
        self.held_by_id = {}
        self._scorer = scorers.Scorer(
            forwarder, directory, configuration, dialect, self.held_by_id
        )
        self._scheduler = schedulers.Scheduler(
            directory,
            configuration,
            runner,
            self.held_by_id,
            self._scorer.schedule,
            crash_tracker,
            sharing,
        )

    def gauge_values(self):
        """Return how many batches and items this entry has."""
        held_now = self.held_by_id.values()
        waiting = sum(len(held.book.waiting_ids()) for held in held_now)
        running = sum(len(held.runs_by_item) for held in held_now)
        unscored = sum(len(held.book.unscored_ids()) for held in held_now)
        return [
            measures.GaugeValue("batches", len(held_now)),
            measures.GaugeValue("items_waiting", waiting),
            measures.GaugeValue("items_running", running),
            measures.GaugeValue("items_unscored", unscored),
        ]

    def needs_by_model(self):
        """Return the oldest version that the newest batch of a model takes."""
        needs_by_model = {}
        for held in self.held_by_id.values():
            model = held.submission.model
            known = needs_by_model.get(model, 0)
            needs_by_model[model] = max(known, held.submission.min_version)
        return needs_by_model

    def routes(self):
        """Return the routes in force."""
        return self._configuration.routes

    async def newest_routes(self):
        """Return the routes that the store has now, in force from here on."""
        await self._configuration.catch_up()
        return self.routes()

    def open(self, held):
        """Begin to run a batch that is ours.

        A newer claim replaces an older one; an older one comes too late.
        """
        known = self.held_by_id.get(held.batch_id)
        if known:
            if known.claimed.revision >= held.claimed.revision:
                return
            self._keep_task(known.stop(_REPLACED))
        self._sequence += 1
        held.sequence = (held.claimed.owner.submitted_at, self._sequence)
        self.held_by_id[held.batch_id] = held
        committer = committing.Committer(self._store, held, self._taken)
        held.committer = asyncio.create_task(committer.run())
        saver = saving.Saver(self._store, held)
        held.saver = asyncio.create_task(saver.run())
        held.has_ready.set()
        loop = asyncio.get_running_loop()
        loop.call_at(held.give_up_at, self._give_up, held)
        _LOG.log(
            "batch-open",
            batch_id=held.batch_id,
            items=held.book.total,
            listed=len(held.book.listed),
            min_version=held.submission.min_version,
        )
        self._scheduler.schedule()
        self._scorer.schedule()

    def save_soon(self):
        """Save what could not be, as the store answers again."""
        for held in self.held_by_id.values():
            if held.is_unsaved:
                held.to_save.set()

    def end(self, batch_id):
        """Stop a batch that its trainer has ended."""
        held = self.held_by_id.get(batch_id)
        if held is None or held.book.is_ended:
            return
        held.book.mark_ended()
        held.cancel_runs("the batch ended")
        self._keep_task(self._carry(held))
        _LOG.log(
            "batch-ended",
            batch_id=batch_id,
            listed=len(held.book.listed),
            items=held.book.total,
        )
        self._scheduler.schedule()

    def _keep_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry(self, held):
        """Keep what the batch left unfinished.

        A trainer submits groups that were not whole again, and items of
        them then need only what they lack.
        """
        saved = [one.save() for one in held.texts()]
        if not saved:
            return
        try:
            await self._store.carry(
                held.route, held.submission.organisation, saved
            )
        except exceptions.AnvilwellError as error:
            _LOG.log(
                "texts-not-carried",
                batch_id=held.batch_id,
                cause=error.message,
            )

    def forget(self, held):
        """Answer for a batch no more; return whether it was answered for.

        A newer claim of the batch stays.
        """
        if self.held_by_id.get(held.batch_id) is not held:
            return False
        del self.held_by_id[held.batch_id]
        return True

    async def drop(self, held, cause):
        """Forget a batch that is another's now."""
        if self.forget(held):
            _LOG.log("batch-dropped", batch_id=held.batch_id, cause=cause)
            await held.stop(cause)
            self.on_lost()

    async def let_go(self):
        """Stop all batches and keep their texts for the next owner."""
        held_now = list(self.held_by_id.values())
        self.held_by_id.clear()
        await asyncio.gather(*(self._save(held) for held in held_now))

    async def stop(self):
        """Stop all that runs."""
        held_now = list(self.held_by_id.values())
        self.held_by_id.clear()
        for held in held_now:
            await held.stop(_LEAVING)
        self._scheduler.stop()
        self._scorer.stop()

    async def _save(self, held):
        await held.stop(_LEAVING)
        saved = [one.save() for one in held.texts()]
        if held.book.needs_no_runs or not saved:
            return
        try:
            await self._store.save(held.batch_id, saved)
        except exceptions.AnvilwellError as error:
            _LOG.log(
                "texts-not-saved", batch_id=held.batch_id, cause=error.message
            )
        _LOG.log("batch-let-go", batch_id=held.batch_id, texts=len(saved))

    def _taken(self, held, cause):
        self._keep_task(self.drop(held, cause))

    def _give_up(self, held):
        if self.held_by_id.get(held.batch_id) is held:
            held.book.abandon_rest()
            held.cancel_runs("the batch's time is over")
            held.has_ready.set()


def _nothing():
    """Be told and do nothing."""
