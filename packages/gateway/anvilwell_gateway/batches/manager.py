"""Manages the batches that this process owns, from opening to release."""

import asyncio
import contextlib

from anvilwell_gateway.batches import committing
from anvilwell_gateway.batches import records
from anvilwell_gateway.batches import saving
from anvilwell_gateway.batches import scheduler as schedulers
from anvilwell_gateway.batches import scoring_scheduler as scoring_schedulers
from anvilwell_gateway import measures
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

_STOPPING_CAUSE = "this entry stops"
_REPLACED_CAUSE = "this entry claimed the batch again"

_LOG = logs.get_logger(__name__)


class BatchManager:
    """Opens, ends and releases the batches that this process owns.

    It starts the tasks of each batch and shares the batches with the
    schedulers of items and of scoring calls.

    Parameters
    ----------
    batch_store : records.BatchStore
        Reads and writes batches.
    directory : directory.Directory
        The replicas.
    configuration : configuration.ConfigurationFollower
        The routes in force.
    runner : runners.Runner
        Runs items at replicas.
    forwarder : forwarding.Forwarder
        Makes scoring calls.
    dialect : dialect.Dialect
        Encodes scoring calls.
    slot_sharing : slot_sharing.SlotSharing
        Determines which slots this entry may use.
    budget : byte_budget.ByteBudget
        Counts the bodies of the items of open batches.
    residency : residency.ResidencyRules, optional
        The allowed regions in force; without it all regions are allowed.
    cold_replicas : cold_replicas.ColdReplicas, optional
        Limits the items sent to replicas that may be cold.
    idle_count : callable, optional
        Returns the number of usable idle connections to a replica id, if
        replicas with one are preferred.
    """

    def __init__(
        self,
        batch_store,
        directory,
        configuration,
        runner,
        forwarder,
        dialect,
        slot_sharing,
        budget,
        residency=None,
        cold_replicas=None,
        idle_count=None,
    ):
        self._residency = residency
        self._budget = budget
        self._store = batch_store
        self._configuration = configuration
        self._sequence = 0
        self._tasks = set()
        self.on_lost = _ignore
        self.on_opened = _ignore
        self.batches_by_id = {}
        # Ids of batches that are being handed over to other entries.
        self._releasing = set()
        self._scoring_scheduler = scoring_schedulers.ScoringScheduler(
            forwarder,
            directory,
            configuration,
            dialect,
            self.batches_by_id,
            residency,
        )
        self._scheduler = schedulers.Scheduler(
            directory,
            configuration,
            runner,
            self.batches_by_id,
            self._scoring_scheduler.schedule,
            slot_sharing,
            residency,
            cold_replicas,
            idle_count,
        )

    def gauge_values(self):
        """Return the numbers of this entry's batches and items."""
        batches = self.batches_by_id.values()
        waiting = sum(len(batch.state.waiting_ids()) for batch in batches)
        running = sum(len(batch.runs_by_item) for batch in batches)
        unscored = sum(len(batch.state.unscored_ids()) for batch in batches)
        return [
            measures.GaugeValue("batches", len(batches)),
            measures.GaugeValue("items_waiting", waiting),
            measures.GaugeValue("items_running", running),
            measures.GaugeValue("items_unscored", unscored),
        ]

    def min_versions_by_model(self):
        """Return the highest minimum version of each model's batches."""
        min_versions_by_model = {}
        for batch in self.batches_by_id.values():
            model = batch.submission.model
            known = min_versions_by_model.get(model, 0)
            min_versions_by_model[model] = max(
                known, batch.submission.min_version
            )
        return min_versions_by_model

    def routes(self):
        """Return the routes in force."""
        return self._configuration.routes

    async def newest_routes(self):
        """Load the newest configuration and return its routes."""
        await self._configuration.refresh()
        return self.routes()

    def open(self, batch):
        """Start to run a batch that this process owns.

        If the batch is open already, the newer of the two claims is kept.
        """
        known = self.batches_by_id.get(batch.batch_id)
        if known:
            if known.claim.revision >= batch.claim.revision:
                return
            self._start_task(known.stop(_REPLACED_CAUSE))
        self._sequence += 1
        batch.sequence = (batch.claim.owner.submitted_at, self._sequence)
        self.batches_by_id[batch.batch_id] = batch
        batch.charge(self._budget)
        committer = committing.Committer(
            self._store, batch, self._on_ownership_lost
        )
        saver = saving.Saver(self._store, batch)
        with self._limited_relays(batch):
            batch.committer = asyncio.create_task(committer.run())
            batch.saver = asyncio.create_task(saver.run())
        batch.has_new_results.set()
        loop = asyncio.get_running_loop()
        loop.call_at(batch.abandon_at, self._abandon, batch)
        _LOG.log(
            "batch-open",
            batch_id=batch.batch_id,
            items=batch.state.total,
            listed=len(batch.state.listed),
            min_version=batch.submission.min_version,
        )
        self._scheduler.schedule()
        self._scoring_scheduler.schedule()
        self.on_opened()

    def _limited_relays(self, batch):
        """Limit the peers that relay store calls for a batch."""
        if self._residency is None:
            return contextlib.nullcontext()
        return self._residency.relays_of_submission(batch.submission)

    def retry_failed_saves(self):
        """Save texts whose save failed, now that the store answers again."""
        for batch in self.batches_by_id.values():
            if batch.has_unsaved_texts:
                batch.save_requested.set()

    def end(self, batch_id):
        """Stop the runs of a batch that its trainer has ended."""
        batch = self.batches_by_id.get(batch_id)
        if batch is None or batch.state.is_ended:
            return
        batch.mark_ended()
        batch.cancel_runs("the batch ended")
        self._start_task(self._carry(batch))
        _LOG.log(
            "batch-ended",
            batch_id=batch_id,
            listed=len(batch.state.listed),
            items=batch.state.total,
        )
        self._scheduler.schedule()

    def _start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry(self, batch):
        """Save the unfinished texts of an ended batch for the next one.

        Trainers submit incomplete groups again; their items then continue
        from the saved texts.
        """
        saved = [
            one.save().without_failures() for one in batch.reusable_texts()
        ]
        if not saved:
            return
        try:
            with self._limited_relays(batch):
                await self._store.carry(
                    batch.route, batch.submission.organisation, saved
                )
        except exceptions.AnvilwellError as error:
            _LOG.log(
                "texts-not-carried",
                batch_id=batch.batch_id,
                cause=error.message,
            )

    def remove(self, batch):
        """Remove `batch` from the open batches; return whether it was there.

        The same batch under a newer claim is not removed.
        """
        if self.batches_by_id.get(batch.batch_id) is not batch:
            return False
        del self.batches_by_id[batch.batch_id]
        return True

    async def drop(self, batch, cause):
        """Stop and remove a batch that another process owns now."""
        if self.remove(batch):
            _LOG.log("batch-dropped", batch_id=batch.batch_id, cause=cause)
            await batch.stop(cause)
            self.on_lost()

    async def release(self):
        """Stop all batches and save their texts for the next owners."""
        batches = list(self.batches_by_id.values())
        self.batches_by_id.clear()
        await asyncio.gather(*(self._save(batch) for batch in batches))

    def holds(self, batch_id):
        """Return whether a batch is open here, or is being handed over."""
        return batch_id in self.batches_by_id or batch_id in self._releasing

    def hand_over(self, batch, cause):
        """Release one batch, so that another entry takes it over."""
        if self.remove(batch):
            _LOG.log("batch-dropped", batch_id=batch.batch_id, cause=cause)
            self._releasing.add(batch.batch_id)
            self._start_task(self._release(batch))

    async def _release(self, batch):
        await self._save(batch)
        while not await self._try_release(batch):
            pass
        self._releasing.discard(batch.batch_id)

    async def _try_release(self, batch):
        """Release a batch; return whether this process owns it no more."""
        try:
            await self._store.release(batch.batch_id, batch.claim)
        except records.OwnedElsewhere:
            return True
        except exceptions.AnvilwellError as error:
            _LOG.log(
                "batch-not-released",
                batch_id=batch.batch_id,
                cause=error.message,
            )
            return False
        return True

    async def stop(self):
        """Stop all batches and both schedulers."""
        batches = list(self.batches_by_id.values())
        self.batches_by_id.clear()
        for batch in batches:
            await batch.stop(_STOPPING_CAUSE)
        self._scheduler.stop()
        self._scoring_scheduler.stop()

    async def _save(self, batch):
        await batch.stop(_STOPPING_CAUSE)
        saved = batch.progress_to_save()
        if batch.state.needs_no_runs or not saved:
            return
        try:
            with self._limited_relays(batch):
                await self._store.save(batch.batch_id, batch.claim, saved)
        except exceptions.AnvilwellError as error:
            _LOG.log(
                "texts-not-saved", batch_id=batch.batch_id, cause=error.message
            )
        _LOG.log("batch-let-go", batch_id=batch.batch_id, texts=len(saved))

    def _on_ownership_lost(self, batch, cause):
        self._start_task(self.drop(batch, cause))

    def _abandon(self, batch):
        if self.batches_by_id.get(batch.batch_id) is batch:
            batch.state.abandon_rest()
            batch.cancel_runs("the batch reached its time limit")
            batch.has_new_results.set()


def _ignore():
    """Do nothing; the default of ``on_lost`` and ``on_opened``."""
