"""Chooses replicas for the items of owned batches and runs them there."""

import asyncio
import collections
import functools
import random

from anvilwell_decisions.batches import dispatch as dispatches
from anvilwell_decisions.batches import item_order
from anvilwell_decisions.batches import moves
from anvilwell_decisions.traffic import facts
from anvilwell_decisions.traffic import residency as residencies
from anvilwell_decisions.traffic import table
from anvilwell_gateway.batches import runner as runners
from anvilwell_gateway.batches import slot_sharing as slot_sharings
from anvilwell_gateway import measures
from anvilwell_gateway import timers
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs

# Longest time between two passes over waiting and running items, in seconds:
# a tenth of the shortest stall.
PASS_INTERVAL_S = 0.1
# Notices that arrive within this time share a pass, in seconds. Large
# deployments have hundreds of notices per second.
NOTICE_DELAY_S = 0.01
# Largest share of an entry's time that may be spent on passes; a pass starts
# and moves all items that can start or move. With thousands of items a run
# ends every few milliseconds and requests another pass, and the events of all
# other runs wait during a pass.
MAX_TIME_SHARE = 0.2

_RETRIES_BY_END = {
    runners.RunEnd.REFUSED: reasons.Retry.REFUSED_NOT_RUN,
    runners.RunEnd.EVACUATED: reasons.Retry.DRAINED,
    runners.RunEnd.OTHER_REPLICA: reasons.Retry.DRAINED,
    runners.RunEnd.TOO_OLD: reasons.Retry.STALE_VERSION,
    runners.RunEnd.FAILED: reasons.Retry.BACKEND_FAILED,
    runners.RunEnd.IMPOSSIBLE: reasons.Retry.BACKEND_FAILED,
    runners.RunEnd.BROKEN: reasons.Retry.STREAM_RESUMED,
    runners.RunEnd.UNREACHABLE: reasons.Retry.CONNECT_FAILED,
    runners.RunEnd.STALLED: reasons.Retry.STREAM_RESUMED,
}
# Pause before another item is sent to the replica, in seconds.
_PAUSES_S_BY_END = {
    runners.RunEnd.REFUSED: dispatches.REFUSED_PAUSE_S,
    runners.RunEnd.BROKEN: dispatches.BROKEN_PAUSE_S,
    runners.RunEnd.UNREACHABLE: dispatches.SILENT_PAUSE_S,
    runners.RunEnd.STALLED: dispatches.SILENT_PAUSE_S,
}

_LOG = logs.get_logger(__name__)


class Scheduler:
    """Starts, moves and stops runs of items.

    Parameters
    ----------
    directory : directory.Directory
        The replicas.
    configuration : configuration.ConfigurationFollower
        The routes in force.
    runner : runners.Runner
        Runs items at replicas.
    batches_by_id : dict
        The batches that this process owns, updated by the
        `manager.BatchManager`.
    on_text_complete : callable
        Called when a text is complete.
    slot_sharing : slot_sharings.SlotSharing
        Determines which slots this entry may use.
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
        directory,
        configuration,
        runner,
        batches_by_id,
        on_text_complete,
        slot_sharing,
        residency=None,
        cold_replicas=None,
        idle_count=None,
    ):
        self._residency = residency
        self._directory = directory
        self._configuration = configuration
        self._runner = runner
        self._batches_by_id = batches_by_id
        self._on_text_complete = on_text_complete
        self._dispatcher = dispatches.Dispatcher(
            cold_replicas and cold_replicas.sends, idle_count
        )
        self._move_history = moves.MoveHistory()
        self._slot_sharing = slot_sharing
        slot_sharing.usage_of = self._slot_usage
        slot_sharing.on_change = self._limits_changed
        self._waiting_by_service = collections.Counter()
        # The failure domains that waiting items need, if these have lists.
        self._domains_by_service = {}
        # When the slot limits were last updated, in event-loop time.
        self._limits_refreshed_at = float("-inf")
        # All services that items of owned batches have needed so far.
        self._services = set()
        # Replicas that changed since the last update.
        self._changed_ids = set()
        self._needs_full_update = True
        # Earliest time of the next pass after an ended run, in event-loop
        # time.
        self._next_pass_at = float("-inf")
        self._timer = timers.Timer(self.schedule)
        directory.listen(self._replicas_changed)
        configuration.listen(self._configuration_changed)

    def stop(self):
        """Start no more runs."""
        self._timer.cancel()

    def _replicas_changed(self, changed):
        """Schedule at once if replicas came or left, else with a delay."""
        self._changed_ids |= changed.replica_ids
        if changed.is_membership:
            self.schedule()
        else:
            self._timer.schedule_within(NOTICE_DELAY_S)

    def _configuration_changed(self):
        """Run a pass; services may have limits for cold replicas now."""
        self._needs_full_update = True
        self.schedule()

    def schedule(self):
        """Run a pass now: start and move all items that can start or move."""
        self._timer.cancel()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        has_work = self._run_pass(started_at)
        took_s = loop.time() - started_at
        self._next_pass_at = started_at + took_s / MAX_TIME_SHARE
        if has_work:
            self._timer.schedule_in(PASS_INTERVAL_S)

    def _schedule_soon(self):
        """Run a pass soon, limited to `MAX_TIME_SHARE` of the time."""
        wait_s = self._next_pass_at - asyncio.get_running_loop().time()
        if wait_s > 0:
            self._timer.schedule_within(wait_s)
        else:
            self._timer.schedule_soon()

    def _run_pass(self, now):
        """Start and move items; return whether any of them waits or runs.

        Without items, the replicas are not examined at all.
        """
        waiting = sorted(
            waiting_item
            for batch in self._batches_by_id.values()
            for waiting_item in self._waiting_items(batch)
        )
        has_runs = any(
            batch.runs_by_item for batch in self._batches_by_id.values()
        )
        if not waiting and not has_runs:
            self._needs_full_update = True
            self._changed_ids.clear()
            self._waiting_by_service.clear()
            return False
        # The services of running items are included, as those items waited
        # before.
        self._update_replicas(
            {waiting_item.service for waiting_item in waiting}
        )
        self._refresh_limits(now)
        self._move(now)
        left = [one for one in waiting if not self._start(one, now)]
        self._waiting_by_service = collections.Counter(
            waiting_item.service for waiting_item in left
        )
        self._domains_by_service = self._wanted_domains(left)
        for service in self._services:
            self._slot_sharing.request_slots(service)
        return True

    def _wanted_domains(self, waiting):
        """Return the failure domains in which waiting items may run."""
        if not (self._residency and self._residency.is_active):
            return {}
        lists_by_service = collections.defaultdict(set)
        for one in waiting:
            lists_by_service[one.service].add(one.allowed_domains)
        return {
            service: residencies.union(lists)
            for service, lists in lists_by_service.items()
        }

    def _refresh_limits(self, now):
        """Update the slot limits from the current homes and loans."""
        if now - self._limits_refreshed_at < PASS_INTERVAL_S:
            return
        self._limits_refreshed_at = now
        if self._slot_sharing.update_homes(self._services):
            self._dispatcher.set_limits(self._slot_sharing.limit)

    def _slot_usage(self, service):
        """Return the `slot_sharings.SlotUsage` of a service."""
        self._update_replicas({service})
        return slot_sharings.SlotUsage(
            self._waiting_by_service[service],
            self._dispatcher.workers(service),
            self._domains_by_service.get(service),
        )

    def _limits_changed(self):
        """Apply changed slot limits; start items if any are waiting."""
        self._dispatcher.set_limits(self._slot_sharing.limit)
        if self._waiting_by_service.total():
            self._schedule_soon()

    def _update_replicas(self, services):
        """Update changed replicas, or all of them if a service is new."""
        changed_ids, self._changed_ids = self._changed_ids, set()
        if self._needs_full_update or services - self._services:
            self._needs_full_update = False
            self._services |= services
            self._dispatcher.set_replicas(
                replica
                for service in self._services
                for replica in self._directory.usable(service)
            )
            return
        for replica_id in changed_ids:
            replica = self._directory.find_usable(replica_id)
            is_ours = replica is not None and replica.service in self._services
            self._dispatcher.update_replica(
                replica_id, replica if is_ours else None
            )

    def _move(self, now):
        """Stop the runs that should continue at another replica."""
        runs = [
            run._replace(
                events=batch.state.progress_by_id[run.item_id].last_number
            )
            for batch in self._batches_by_id.values()
            for run in batch.runs_by_item.values()
        ]
        self._dispatcher.set_runs(runs, self._tokens_by_service(), now)
        movable = [run for run in runs if self._may_move(run)]
        for move in self._dispatcher.choose_moves(movable, now):
            run = move.run
            batch = self._batches_by_id[run.batch_id]
            batch.tasks_by_item[run.item_id].cancel(str(move.cause))
            self._move_history.record(move, now)
            counters.count_retry(reasons.Retry.HEDGE, run.service)
            _LOG.log(
                "item-moved",
                batch_id=run.batch_id,
                item_id=run.item_id,
                replica=run.replica_id,
                cause=str(move.cause),
                made=run.events,
                left=round(move.remaining_events, 1),
                stay_s=round(move.stay_s, 3),
                gain_s=round(move.gain_s, 3),
                moved=run.earlier_moves,
            )

    def _may_move(self, run):
        batch = self._batches_by_id[run.batch_id]
        return not batch.state.is_ended and batch.route.is_resumable

    def _tokens_by_service(self):
        """Return the memory of each service's engines, in tokens."""
        current = self._configuration.current
        services = current.services_by_name if current else {}
        return {
            name: service.memory_tokens for name, service in services.items()
        }

    def _waiting_items(self, batch):
        """Return a `WaitingItem` for each item of `batch` that should run."""
        state = batch.state
        items = [state.items_by_id[item_id] for item_id in state.waiting_ids()]
        if not items:
            return []
        service = self._service(batch)
        bounds = self._bounds(batch)
        if service is None or (bounds and not bounds.may_own):
            return []
        is_late = asyncio.get_running_loop().time() > batch.late_at
        return [
            dispatches.WaitingItem(
                (
                    item_order.sort_key(
                        batch.sequence, is_late, self._has_text(batch, item)
                    ),
                    -item.expected_tokens,
                ),
                batch.batch_id,
                item.item_id,
                item.group,
                service,
                batch.submission.model,
                batch.submission.min_version,
                batch.route.name,
                item.expected_tokens,
                batch.state.progress_by_id[item.item_id].last_number,
                item.prompt,
                bounds and bounds.domains,
            )
            for item in items
        ]

    def _bounds(self, batch):
        """Return the `residency.Bounds` of a batch, None without a list."""
        rules = self._residency
        return rules and rules.of_submission(batch.submission)

    @staticmethod
    def _has_text(batch, item):
        return bool(batch.state.progress_by_id[item.item_id].events)

    def _service(self, batch):
        """Return the service that runs the batch's items now."""
        route = self._configuration.routes.find(
            batch.submission.host, batch.submission.path
        )
        if route is None:
            batch.state.abandon_rest()
            batch.has_new_results.set()
            return None
        if not table.routes_to(route, batch.service):
            batch.service = table.choose_service(route, random)
        return batch.service

    def _start(self, waiting_item, now):
        """Start one item if a replica is free; return whether it started."""
        replica_id = self._dispatcher.choose_replica(waiting_item, now)
        if replica_id is None:
            return False
        batch = self._batches_by_id[waiting_item.batch_id]
        batch.state.mark_running(waiting_item.item_id)
        worker = self._dispatcher.worker(replica_id)
        permit = self._dispatcher.record_assignment(waiting_item, replica_id)
        progress = batch.state.progress_by_id[waiting_item.item_id]
        if not batch.route.is_resumable:
            progress.restart()
        batch.runs_by_item[waiting_item.item_id] = dispatches.Run(
            waiting_item.batch_id,
            waiting_item.item_id,
            replica_id,
            progress.last_number,
            waiting_item.service,
            waiting_item.model,
            waiting_item.min_version,
            waiting_item.kind,
            waiting_item.expected_tokens,
            waiting_item.prompt,
            self._move_history.count(
                waiting_item.batch_id, waiting_item.item_id
            ),
            waiting_item.allowed_domains,
        )
        task = asyncio.create_task(
            self._run(batch, waiting_item, worker, permit)
        )
        # The slot is released by a callback, as a task that is cancelled
        # before its first step never runs its own code.
        task.add_done_callback(
            functools.partial(self._release_slot, batch, waiting_item, worker)
        )
        if permit is not None:
            task.add_done_callback(lambda _: permit.close())
        batch.tasks_by_item[waiting_item.item_id] = task
        return True

    def _release_slot(self, batch, waiting_item, worker, task):
        """Release the slot and the item of a run that has ended."""
        worker.running -= 1
        if batch.tasks_by_item.get(waiting_item.item_id) is task:
            del batch.tasks_by_item[waiting_item.item_id]
            del batch.runs_by_item[waiting_item.item_id]
            batch.state.mark_stopped(waiting_item.item_id)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            now = asyncio.get_running_loop().time()
            worker.not_before = now + dispatches.SILENT_PAUSE_S
            _LOG.log(
                "run-fault", item_id=waiting_item.item_id, cause=repr(error)
            )
        self._schedule_soon()

    async def _run(self, batch, waiting_item, worker, permit):
        progress = batch.state.progress_by_id[waiting_item.item_id]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        known = progress.last_number
        run_request = runners.RunRequest(
            batch.state.items_by_id[waiting_item.item_id],
            batch.submission.host,
            progress,
            batch.submission.min_version,
            batch.route.one_version,
            max(0.0, batch.abandon_at - started_at),
            batch.submission.organisation,
            permit,
        )
        result = runners.RunResult(runners.RunEnd.STOPPED)
        try:
            result = await self._runner.run(
                run_request, worker.replica, worker.pace
            )
        except asyncio.CancelledError as error:
            result = result._replace(cause=" ".join(error.args))
            raise
        finally:
            took_s = loop.time() - started_at
            measures.record(measures.RUNS, took_s, end=str(result.end))
            is_whole = result.end is runners.RunEnd.WHOLE
            write = _LOG.routine if is_whole else _LOG.log
            write(
                "item-run",
                batch_id=batch.batch_id,
                item_id=waiting_item.item_id,
                replica=worker.replica.replica_id,
                end=str(result.end),
                cause=result.cause,
                version=result.version,
                first=known,
                last=progress.last_number,
                took_s=round(took_s, 3),
            )
        self._handle_result(batch, waiting_item, worker, result)

    def _handle_result(self, batch, waiting_item, worker, result):
        """Update the batch and the replica after a run has ended."""
        now = asyncio.get_running_loop().time()
        if result.version:
            seen = facts.ModelVersion(waiting_item.model, result.version)
            worker.update_versions([seen])
        state = batch.state
        if result.end is runners.RunEnd.WHOLE:
            self._record_completion(batch, waiting_item, now)
            state.mark_text_complete(waiting_item.item_id)
            batch.has_new_results.set()
            self._on_text_complete()
            return
        if result.end is runners.RunEnd.HELD_BACK:
            return
        counters.count_retry(_RETRIES_BY_END[result.end], waiting_item.service)
        if result.end is runners.RunEnd.FAILED:
            state.count_failure(waiting_item.item_id)
        elif result.end is runners.RunEnd.IMPOSSIBLE:
            state.abandon(waiting_item.item_id)
        elif result.end is runners.RunEnd.OTHER_REPLICA:
            self._directory.exclude(worker.replica.replica_id)
        elif result.end is runners.RunEnd.TOO_OLD:
            self._reset_text(batch, waiting_item.item_id)
        elif result.end in _PAUSES_S_BY_END:
            worker.not_before = now + _PAUSES_S_BY_END[result.end]
        batch.save_if_abandoned(waiting_item.item_id)
        batch.has_new_results.set()

    def _record_completion(self, batch, waiting_item, now):
        """Record a complete text's length and the savings of its moves."""
        events = batch.state.progress_by_id[waiting_item.item_id].last_number
        self._dispatcher.lengths.observe(
            waiting_item.kind, waiting_item.expected_tokens, events
        )
        savings = self._move_history.pop_savings(
            waiting_item.batch_id, waiting_item.item_id, events, now
        )
        if savings is None:
            return
        measures.count_move(savings.gained_s)
        _LOG.log(
            "item-move-ended",
            batch_id=batch.batch_id,
            item_id=waiting_item.item_id,
            moves=savings.moves,
            expected_s=round(savings.expected_s, 3),
            gained_s=round(savings.gained_s, 3),
            tokens_again=round(savings.tokens_again),
            events=events,
        )

    @staticmethod
    def _reset_text(batch, item_id):
        """Discard a text that no replica can continue."""
        if batch.route.one_version:
            batch.state.progress_by_id[item_id].restart()
