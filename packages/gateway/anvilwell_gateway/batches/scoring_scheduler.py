"""Requests the scores of complete texts."""

import asyncio
import collections
import functools

from anvilwell_decisions.batches import scoring
from anvilwell_gateway import dialect as dialects
from anvilwell_gateway.http import messages
from anvilwell_gateway import measures
from anvilwell_gateway import timers
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

# Interval between passes while texts wait for a scoring call, in seconds. A
# text waits during the pause after a refusal, or while its route is missing.
PASS_INTERVAL_S = 0.1

_LOG = logs.get_logger(__name__)


class ScoringScheduler:
    """Makes the scoring calls of the batches that this process owns.

    A call starts once the last event of its text has arrived. It is forwarded
    like a live call and repeated under the same id until it returns a score.

    Parameters
    ----------
    forwarder : forwarding.Forwarder
        Forwards the calls to plain services.
    directory : directory.Directory
        The replicas, with the slots of each service.
    configuration : configuration.ConfigurationFollower
        The routes in force.
    dialect : dialect.Dialect
        Encodes the calls and decodes the seals.
    batches_by_id : dict
        The batches that this process owns, updated by the
        `manager.BatchManager`.
    residency : residency.ResidencyRules, optional
        The allowed regions in force; without it all regions are allowed.
    """

    def __init__(
        self,
        forwarder,
        directory,
        configuration,
        dialect,
        batches_by_id,
        residency=None,
    ):
        self._residency = residency
        if residency is not None:
            residency.listen(self._restart_bounded_calls)
        self._forwarder = forwarder
        self._directory = directory
        self._configuration = configuration
        self._dialect = dialect
        self._batches_by_id = batches_by_id
        self._limiters_by_service = collections.defaultdict(
            scoring.ScoringLimiter
        )
        self._timer = timers.Timer(self.schedule)

    def stop(self):
        """Start no more calls."""
        self._timer.cancel()

    def schedule(self):
        """Start all scoring calls that may start now."""
        self._timer.cancel()
        unscored = [
            (batch, item_id)
            for batch in self._batches_by_id.values()
            for item_id in batch.state.unscored_ids()
        ]
        if not unscored:
            return
        now = asyncio.get_running_loop().time()
        slots_by_service = self._slots_by_service()
        started = [
            self._start(batch, item_id, slots_by_service, now)
            for batch, item_id in unscored
        ]
        if not all(started):
            self._timer.schedule_in(PASS_INTERVAL_S)

    def _slots_by_service(self):
        """Return the total slots of each service's replicas."""
        slots_by_service = collections.Counter()
        for replica in self._directory.usable():
            slots_by_service[replica.service] += replica.slots
        return slots_by_service

    def _start(self, batch, item_id, slots_by_service, now):
        """Start the call of one item; return whether it was started."""
        progress = batch.state.progress_by_id[item_id]
        if now < progress.scoring_not_before:
            return False
        scoring_call = batch.state.items_by_id[item_id].scoring_call
        route = self._route(scoring_call)
        if route is None or not self._may_own(batch):
            return False
        limiter = self._limiter(route, slots_by_service)
        if not limiter.may_start(now):
            return False
        batch.state.mark_scoring(item_id)
        limiter.running += 1
        task = asyncio.create_task(
            self._score(batch, item_id, scoring_call, route, limiter)
        )
        batch.scorings_by_item[item_id] = task
        # The slot is released by a callback, as a task that is cancelled
        # before its first step never runs its own code.
        task.add_done_callback(
            functools.partial(self._release_slot, batch, item_id, limiter)
        )
        return True

    def _may_own(self, batch):
        """Return whether the lists of a batch let this VM run it."""
        rules = self._residency
        bounds = rules and rules.of_submission(batch.submission)
        return bounds is None or bounds.may_own

    def _restart_bounded_calls(self):
        """Stop the calls that have lists; each starts again under these."""
        for batch in self._batches_by_id.values():
            for item_id, task in batch.scorings_by_item.items():
                scoring_call = batch.state.items_by_id[item_id].scoring_call
                route = self._route(scoring_call)
                organisation = batch.submission.organisation
                if route is None or self._residency.of_request(
                    route, organisation
                ):
                    task.cancel("the allowed regions have changed")

    def _route(self, scoring_call):
        """Return the route of a call, marked as idempotent."""
        path = scoring_call.target.partition("?")[0]
        route = self._configuration.routes.find(scoring_call.host, path)
        if route is None or route.is_batch or route.is_stream:
            return None
        return route._replace(is_idempotent=True)

    def _limiter(self, route, slots_by_service):
        services = [target.service for target in route.targets]
        limiter = self._limiters_by_service[services[0]]
        slots = sum(slots_by_service[service] for service in set(services))
        limiter.set_slots(slots)
        return limiter

    def _release_slot(self, batch, item_id, limiter, task):
        limiter.running -= 1
        if batch.scorings_by_item.get(item_id) is task:
            del batch.scorings_by_item[item_id]
        batch.state.mark_not_scored(item_id)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._delay_next_call(batch, item_id)
            _LOG.log("scoring-fault", item_id=item_id, cause=repr(error))
        batch.has_new_results.set()
        self._timer.schedule_soon()

    def _delay_next_call(self, batch, item_id):
        """Set the time of an item's next call, with a growing pause."""
        progress = batch.state.progress_by_id[item_id]
        progress.scoring_rounds += 1
        pause_s = scoring.retry_delay_s(progress.scoring_rounds)
        now = asyncio.get_running_loop().time()
        progress.scoring_not_before = now + pause_s

    async def _score(self, batch, item_id, scoring_call, route, limiter):
        """Make one round of attempts to score one item."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        limit_s = limiter.limit_s(route)
        attempt = self._attempts(batch, scoring_call, route, limit_s)
        seal, cause = await self._seal(attempt, limiter)
        took_s = loop.time() - started_at
        if seal:
            limiter.record_score(took_s)
            batch.state.mark_scored(item_id, seal)
        else:
            max_failures = max(route.max_replicas, batch.route.max_replicas)
            batch.state.mark_not_scored(
                item_id, attempt.failures, max_failures
            )
            batch.save_if_abandoned(item_id)
            self._delay_next_call(batch, item_id)
        end = "scored" if seal else "failed"
        measures.record(measures.SCORINGS, took_s, end=end)
        write = _LOG.routine if seal else _LOG.log
        write(
            "item-scoring",
            batch_id=batch.batch_id,
            item_id=item_id,
            request_id=scoring_call.call_id,
            end=end,
            state=batch.state.state(item_id).value,
            cause=cause,
            replicas=attempt.tried_replica_ids,
            failures=attempt.failures,
            limit_s=round(limit_s, 3),
            took_s=round(took_s, 3),
        )

    def _attempts(self, batch, scoring_call, route, limit_s):
        """Return the `attempts.Attempts` for one scoring call."""
        request = messages.Request(
            "POST",
            scoring_call.target,
            self._dialect.scoring_headers(scoring_call),
            scoring_call.body,
            asyncio.get_running_loop().time(),
            organisation=batch.submission.organisation,
        )
        call = dialects.RequestHead(scoring_call.call_id, limit_s)
        return self._forwarder.attempts(
            route, call, request, reasons.Work.SCORING_CALL
        )

    async def _seal(self, attempt, limiter):
        """Return the seal and ""; without a seal, "" and the cause."""
        try:
            answer = await attempt.run()
        except exceptions.AnvilwellError as error:
            if error.verdict is verdicts.Verdict.NOT_RUN:
                limiter.record_refusal(asyncio.get_running_loop().time())
            return "", error.message
        if answer.status >= 300:
            return "", f"status {answer.status}"
        return self._dialect.read_response_head(answer).seal, ""
