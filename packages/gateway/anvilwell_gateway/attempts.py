"""Tries a live request at replicas: choice, hedging, retries and limits."""

import asyncio
import contextlib
import functools
import random
import typing

from anvilwell_decisions.requests import facts as request_facts
from anvilwell_decisions.traffic import table
from anvilwell_gateway.http import connection_records
from anvilwell_gateway.http import messages
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

# Share of the route's target latency after which a second replica gets the
# request too. Both attempts together stay within the target latency if the
# second replica is healthy.
HEDGE_SHARE = 0.45
# Time reserved for sending the response back to the caller, in seconds.
RETURN_MARGIN_S = 0.005
# Lowest HTTP status that says that the replica failed the request.
FIRST_FAILURE_STATUS = 500
# Refusals by this entry itself before a request is sent to a replica.
HELD_BACK_REASONS = frozenset(
    (reasons.Refusal.COLD_LIMIT, reasons.Refusal.EVACUATED)
)
# Refusals after which the chosen replica did not receive the request.
_NOT_REACHED_REASONS = frozenset(
    (
        reasons.Refusal.CONNECT_FAILED,
        reasons.Refusal.OTHER_REPLICA,
        *HELD_BACK_REASONS,
    )
)
_RETRIES_BY_REFUSAL = {
    reasons.Refusal.CONNECT_FAILED: reasons.Retry.CONNECT_FAILED,
    reasons.Refusal.EVACUATED: reasons.Retry.DRAINED,
    reasons.Refusal.OTHER_REPLICA: reasons.Retry.DRAINED,
    reasons.Refusal.OVERLOADED: reasons.Retry.REFUSED_NOT_RUN,
    reasons.Refusal.ANSWER_CUT: reasons.Retry.ANSWER_CUT,
}

_LOG = logs.get_logger(__name__)


class BufferedResponse(typing.NamedTuple):
    """A whole response of a replica, held in memory."""

    status: int
    headers: tuple
    body: bytes


class Attempts:
    """Sends one request to replicas until one of them answers it.

    Parameters
    ----------
    forwarder : forwarding.Forwarder
        Sends each attempt and provides the replicas.
    route : facts.Route
        Says which retries and hedges the request allows.
    call : dialect.RequestHead
        The caller's request id and limits, read from the headers.
    request : messages.Request
        The request.
    work : reasons.Work, optional
        The kind of work, by which new connections are counted.
    """

    def __init__(
        self, forwarder, route, call, request, work=reasons.Work.LIVE_CALL
    ):
        self._forwarder = forwarder
        self._route = route
        self._call = call
        self._request = request
        self._work = work
        self._service = table.choose_service(route, random)
        self._loop = asyncio.get_running_loop()
        self._limit_s, self._limit_source = _limit(route, call)
        self._deadline = request.received_at + self._limit_s
        self._verdict = verdicts.Verdict.NOT_RUN
        self._last_error = None
        # The last 5xx response of a replica, which is returned if no other
        # replica answers with success.
        self._failure = None
        self._not_reached = 0
        self._is_counted = False
        # How long the entries that grant trials hold the request back, in
        # seconds.
        self._trial_wait_s = 0.0
        # Permits to send the request to replicas that may be cold.
        self._permits_by_id = {}
        self.tried_replica_ids = []
        # Number of replicas that answered 500: they ran the request and
        # failed.
        self.failures = 0

    def age_s(self):
        """Return the time since the request arrived, in seconds."""
        return self._loop.time() - self._request.received_at

    @property
    def service(self):
        """The service that was chosen for the request."""
        return self._service

    @property
    def priority(self):
        """The priority of the request, 0 for the highest."""
        return self._route.priority

    @property
    def remaining_s(self):
        """The time until the request's deadline, in seconds, at least 0."""
        return max(0.0, self._deadline - self._loop.time())

    @property
    def organisation(self):
        """The organisation that sent the request, "" if none is known."""
        return self._request.organisation

    @functools.cached_property
    def fingerprint(self):
        """A hash that is the same each time this request is sent."""
        return messages.fingerprint(self._request)

    async def run(self):
        """Return the `BufferedResponse` that answers the request.

        Raises
        ------
        exceptions.AnvilwellError
            Its verdict combines those of all attempts.
        """
        tasks = set()
        try:
            async with (
                asyncio.timeout_at(self._deadline - RETURN_MARGIN_S),
                self._trial(),
            ):
                return await self._race(tasks)
        except TimeoutError:
            if self._failure:
                return self._failure
            raise self._timed_out("answer") from None
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _timed_out(self, what):
        """Return the timeout error; `what` names what came too late."""
        verdict = self._verdict
        if self.tried_replica_ids:
            verdict = verdicts.Verdict.MAY_HAVE_RUN
        return exceptions.Timeout(
            f"no whole {what} in {self._limit_s:g} s, {self._limit_source}",
            verdict=verdict,
        )

    async def _race(self, tasks):
        """Start attempts, one after another or hedged, until one succeeds."""
        while True:
            if not tasks and not self._start(tasks):
                return self._final_response()
            done, _ = await asyncio.wait(
                tasks,
                timeout=self._hedge_s(tasks),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                self._start(tasks)
                continue
            for task in done:
                tasks.discard(task)
                response = self._accept_result(task)
                if response:
                    return response

    @property
    def _sent_count(self):
        """The number of replicas that were, or are being, sent the request.

        A replica that refused the connection, or whose address another
        replica has taken over, did not receive it.
        """
        return len(self.tried_replica_ids) - self._not_reached

    def _hedge_s(self, tasks):
        """Return the delay before a hedge, in seconds, None for no hedge.

        A suspect request is never hedged, since it could crash both replicas.
        """
        may_more = self._sent_count < self._route.max_replicas
        if not self._route.is_idempotent or not may_more or len(tasks) > 1:
            return None
        if self._is_suspect:
            return None
        return HEDGE_SHARE * self._route.target_latency_s

    @property
    def _may_crash_replicas(self):
        """Whether crashes of replicas count against this request.

        Scoring calls are part of accepted batches and are never held back.
        """
        return self._work is reasons.Work.LIVE_CALL

    @property
    def _crash_tracker(self):
        """The tracker if it may have crashes of this request, else None."""
        tracker = self._forwarder.crash_tracker
        if tracker.is_empty or not self._may_crash_replicas:
            return None
        return tracker

    @property
    def _is_suspect(self):
        """Whether a replica has crashed under this request."""
        tracker = self._crash_tracker
        return tracker is not None and tracker.is_suspect(self.fingerprint)

    @property
    def _held_back_s(self):
        """How long the request is held back from replicas, in seconds."""
        tracker = self._crash_tracker
        if tracker is None:
            return self._trial_wait_s
        return max(self._trial_wait_s, tracker.wait_s(self.fingerprint))

    @contextlib.asynccontextmanager
    async def _trial(self):
        """Hold the right to try a suspect request at a replica.

        One entry has this trial at a time. Sets how long the request must
        wait if another entry has it.
        """
        tracker = self._crash_tracker
        if tracker is None:
            yield
            return
        async with tracker.trial(self.fingerprint) as self._trial_wait_s:
            yield

    def _start(self, tasks):
        """Start an attempt at another replica; return whether there is one."""
        replica = self._choose(is_hedge=bool(tasks))
        if replica is None:
            return False
        attempt = self._attempt(replica)
        task = asyncio.create_task(attempt, name=replica.replica_id)
        tasks.add(task)
        return True

    @property
    def _is_repeatable(self):
        """Whether the request may be sent again though it may have run."""
        return self._route.is_idempotent

    @property
    def _may_repeat(self):
        """Whether another attempt is allowed after the ones so far."""
        not_run = self._verdict is verdicts.Verdict.NOT_RUN
        return self._is_repeatable or not_run

    def _choose(self, is_hedge=False):
        """Return the replica for the next attempt, or None.

        None if the limit of attempts is reached, if the request must not be
        repeated, or if no replica is available.
        """
        if (
            self._sent_count >= self._route.max_replicas
            or not self._may_repeat
        ):
            return None
        if self._held_back_s:
            return None
        replica_id = self._choose_id()
        replica = replica_id and self._forwarder.replica(replica_id)
        if not replica:
            return None
        if self.tried_replica_ids:
            reason = self._retry_reason(is_hedge)
            counters.count_retry(reason, self._service)
        self.tried_replica_ids.append(replica_id)
        return replica

    def _choose_id(self):
        """Return the id of a replica that may be sent the request, or None.

        Warm replicas are preferred to cold ones, and these to ejected ones.
        """
        policy = self._forwarder.policy(self._service)
        *preferred, last = self._forwarder.cold_replicas.exclusions(
            self._service, self._excluded_ids()
        )
        for excluded in (
            *(one.union(policy.ejected) for one in preferred),
            last,
        ):
            wanted = request_facts.RequestFacts(
                self._call.request_id, excluded=excluded
            )
            replica_id = policy.choose(wanted, self._loop.time())
            if replica_id is not None:
                return replica_id
        return None

    def _excluded_ids(self):
        """Return the replicas that were tried or that no list allows."""
        return frozenset((*self.tried_replica_ids, *self._not_allowed_ids()))

    def _not_allowed_ids(self):
        """Return the replicas that the lists in force don't allow."""
        return self._forwarder.not_allowed_ids(
            self._route, self.organisation, self._service
        )

    async def _attempt(self, replica):
        """Make one attempt; find out whether a cut response was a crash.

        The next replica is chosen only after this check, as a request that
        crashes replicas must not go on to another one.
        """
        try:
            with self._forwarder.cold_replicas.permit(replica) as permit:
                self._permits_by_id[replica.replica_id] = permit
                answer = await self._ask(replica)
        except exceptions.BackendFailed as error:
            is_cut = error.reason is reasons.Refusal.ANSWER_CUT
            if is_cut and self._may_crash_replicas:
                await self._forwarder.crash_tracker.note_cut(
                    self.fingerprint, replica
                )
            raise
        if self._crash_tracker is not None:
            self._crash_tracker.answered(self.fingerprint)
        return answer

    def _count_start(self, at):
        """Count the request once for its caller's usage, as of loop time `at`.

        Requests that the gateway makes itself, such as scoring requests,
        have no caller and are not counted.
        """
        if self._request.caller and not self._is_counted:
            self._is_counted = True
            self._forwarder.count_start(self.organisation, at)

    async def _ask(self, replica):
        """Send the request to a replica; return its `BufferedResponse`."""
        started_at = self._record_start(replica)
        failed = True
        response = None
        verdict = verdicts.Verdict.MAY_HAVE_RUN
        try:
            response = await self._forwarder.fetch_response(
                replica,
                self._use(replica),
                self._call,
                self._request,
                self._deadline - started_at,
                self._permits_by_id[replica.replica_id],
            )
            failed = response.status >= FIRST_FAILURE_STATUS
            return response
        except exceptions.AnvilwellError as error:
            verdict = error.verdict
            # A request that was held back says nothing about the replica.
            failed = error.reason not in HELD_BACK_REASONS
            raise
        except asyncio.CancelledError:
            # The attempt was cancelled by the response to another attempt, by
            # the deadline or by the caller. It counts as failed if it has
            # taken longer than the delay before a hedge.
            hedge_s = HEDGE_SHARE * self._route.target_latency_s
            failed = self._loop.time() - started_at > hedge_s
            raise
        finally:
            if verdict is not verdicts.Verdict.NOT_RUN:
                self._count_start(started_at)
            self._record_end(replica, started_at, failed, response is not None)

    def _use(self, replica):
        """Return the `connection_records.Use` of an attempt at a replica."""
        return connection_records.Use.of_replica(
            replica,
            self._work,
            self._call.request_id,
            len(self.tried_replica_ids) > 1,
        )

    def _record_start(self, replica):
        """Report the start of an attempt to the policy; return its time."""
        now = self._loop.time()
        policy = self._forwarder.policy(self._service)
        policy.started(replica.replica_id, now)
        return now

    def _record_end(self, replica, started_at, failed, is_answer=False):
        """Report the end of an attempt to the policy."""
        now = self._loop.time()
        policy = self._forwarder.policy(self._service)
        took_s = now - started_at
        policy.ended(
            request_facts.AttemptEnd(
                replica.replica_id, failed, took_s, is_answer
            ),
            now,
        )

    def _accept_result(self, task):
        """Return the response of a finished attempt, None to try another."""
        error = task.exception()
        replica_id = task.get_name()
        if error is not None:
            self._record_failure(error, replica_id)
            return None
        response = task.result()
        return response if self._is_final(response, replica_id) else None

    def _is_final(self, response, replica_id):
        """Return whether a response goes to the caller without a retry.

        A 5xx response does so only if the request must not be repeated;
        otherwise it is kept in case no other replica succeeds.
        """
        if response.status < FIRST_FAILURE_STATUS or not self._is_repeatable:
            return True
        self._failure = response
        self.failures += response.status == FIRST_FAILURE_STATUS
        self._record_failure(
            exceptions.BackendFailed(
                f"the replica answered {response.status}",
                reason=reasons.Refusal.BACKEND_FAILED,
                verdict=verdicts.Verdict.RAN,
            ),
            replica_id,
        )
        return False

    def _retry_reason(self, is_hedge):
        """Return the `reasons.Retry` to count for the next attempt."""
        if is_hedge:
            return reasons.Retry.HEDGE
        return _RETRIES_BY_REFUSAL.get(
            self._last_error.reason, reasons.Retry.BACKEND_FAILED
        )

    def _record_failure(self, error, replica_id):
        """Log a failed attempt and combine its verdict with the others.

        Errors that are not an `AnvilwellError` are raised.
        """
        if not isinstance(error, exceptions.AnvilwellError):
            raise error
        self._last_error = error
        self._not_reached += (
            error.reason in _NOT_REACHED_REASONS
            and error.verdict is verdicts.Verdict.NOT_RUN
        )
        self._verdict = verdicts.combine(self._verdict, error.verdict)
        _LOG.log(
            "attempt-failed",
            request_id=self._call.request_id,
            fingerprint=self.fingerprint,
            caller=self._request.caller,
            replica=replica_id,
            reason=str(error.reason),
            verdict=str(error.verdict),
            cause=error.message,
        )

    def _final_response(self):
        """Return the last 5xx response, or raise if no replica sent one."""
        if self._failure:
            return self._failure
        if self._held_back_s:
            raise exceptions.BackendFailed(
                "replicas have crashed under this request",
                reason=reasons.Refusal.QUARANTINED,
                verdict=self._verdict,
                retry_after=self._held_back_s,
            )
        self._check_cold_limit()
        if self._last_error is None:
            raise exceptions.Refused(
                f"no replica of {self._service} is available",
                reason=self._forwarder.no_replica_reason(self._service),
            )
        raise exceptions.BackendFailed(
            self._last_error.message,
            reason=self._last_error.reason,
            verdict=self._verdict,
        )

    def _check_cold_limit(self):
        """Raise if no replica was tried as all are at their limit."""
        if self._sent_count or not self._may_repeat:
            return
        wait_s = self._forwarder.cold_replicas.wait_s(self._service)
        if wait_s is not None:
            raise exceptions.Refused(
                f"replicas of {self._service} may be cold, and have been sent "
                "as many requests as they may",
                reason=reasons.Refusal.COLD_LIMIT,
                verdict=self._verdict,
                retry_after=wait_s,
            )


def _limit(route, call):
    """Return a request's time limit, in seconds, and where it comes from."""
    if call.timeout_s is not None and call.timeout_s < route.timeout_s:
        return call.timeout_s, "the caller's limit"
    return route.timeout_s, "the route's timeout"
