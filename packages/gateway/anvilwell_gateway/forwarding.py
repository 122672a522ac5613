"""Forwards live requests to replicas and returns their responses."""

import asyncio
import collections
import random

from anvilwell_decisions.requests import ejection
from anvilwell_decisions.requests import expected_latency
from anvilwell_decisions.requests import facts as request_facts
from anvilwell_decisions.requests import retry_after
from anvilwell_gateway import attempts
from anvilwell_gateway import fair_sharing
from anvilwell_gateway.http import client
from anvilwell_gateway.http import messages
from anvilwell_gateway import measures
from anvilwell_gateway import responses
from anvilwell_gateway import streams
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

# Limit of a response that is not streamed, in bytes. It is buffered whole
# before any of it is sent on, so that a request whose response breaks off
# can be sent to another replica.
MAX_BUFFERED_BYTES = 1 << 20
# Refusals for lack of capacity. Retry-After spreads their callers over time
# so that they don't all come back at once.
_CAPACITY_REFUSALS = frozenset(
    (
        reasons.Refusal.EVACUATED,
        reasons.Refusal.OVERLOADED,
        reasons.Refusal.OVER_SHARE,
    )
)

_LOG = logs.get_logger(__name__)


class Forwarder:
    """Sends requests of plain and stream routes to replicas.

    Parameters
    ----------
    dialect : dialect.Dialect
        Reads and writes the headers exchanged with replicas and callers.
    directory : directory.Directory
        The replicas that are registered.
    pool : connection_pool.Pool
        Connections to replicas.
    configuration : configuration.ConfigurationFollower
        The configuration in force, whose version is logged.
    crash_tracker : crash_tracker.CrashTracker
        Records which requests crash replicas.
    cold_replicas : cold_replicas.ColdReplicas
        Limits the requests to replicas that may be cold.
    count_start : callable
        Called with the organisation and the time of each request that a
        replica started, to count its usage.
    residency : residency.ResidencyRules, optional
        The allowed regions in force; without it all regions are allowed.
    near_routing : near_routing.NearRouting, optional
        Builds the policies of a deployment that spans several regions.
    """

    def __init__(
        self,
        dialect,
        directory,
        pool,
        configuration,
        crash_tracker,
        cold_replicas,
        count_start,
        rng=None,
        residency=None,
        near_routing=None,
    ):
        self._residency = residency
        self.count_start = count_start
        self.crash_tracker = crash_tracker
        self.cold_replicas = cold_replicas
        self._configuration = configuration
        self._dialect = dialect
        self._directory = directory
        self._pool = pool
        self._rng = rng or random.Random()
        self._near_routing = near_routing
        self._policies_by_service = {}
        self._retry_schedules_by_service = collections.defaultdict(
            retry_after.RetrySchedule
        )
        self._fair_sharing = fair_sharing.FairShareLimiter(
            configuration, directory
        )
        directory.listen(self._replicas_changed)

    def attempts(self, route, call, request, work=reasons.Work.LIVE_CALL):
        """Return `attempts.Attempts` for a request that is not streamed."""
        return attempts.Attempts(self, route, call, request, work)

    async def forward(self, route, call, request, responder):
        """Send `request` to replicas and one whole response to the caller."""
        attempt = self.attempts(route, call, request)
        try:
            with self._fair_sharing.admit(attempt):
                response = await attempt.run()
        except exceptions.AnvilwellError as error:
            await self._send_failure(attempt, route, call, error, responder)
            return
        self._record_response(attempt, route, response.status)
        fields = self._fields(attempt, route, call)
        _LOG.routine("request-answered", status=response.status, **fields)
        headers = messages.end_to_end(response.headers)
        await responder.send(response.status, headers, response.body)

    async def stream(self, route, call, request, responder):
        """Send `request` to replicas and relay their events as they come."""
        attempt = streams.StreamAttempts(self, route, call, request, responder)
        try:
            with self._fair_sharing.admit(attempt):
                await attempt.run()
        except exceptions.AnvilwellError as error:
            if responder.has_started:
                self._log_cut(attempt, route, call, error)
                raise
            await self._send_failure(attempt, route, call, error, responder)
            return
        self._record_response(attempt, route, responder.status)
        fields = self._fields(attempt, route, call)
        _LOG.routine("stream-answered", status=responder.status, **fields)

    def _log_cut(self, attempt, route, call, error):
        """Log a stream that ended early; the caller's connection is reset."""
        counters.count_refusal(error.reason, route.name)
        _LOG.log(
            "stream-cut",
            reason=str(error.reason),
            cause=error.message,
            **self._fields(attempt, route, call),
        )

    def _fields(self, attempt, route, call):
        """Return the log fields that all finished live calls share."""
        return {
            "request_id": call.request_id,
            "organisation": attempt.organisation,
            "route": route.name,
            "configuration": self._configuration.current.version,
            "replicas": attempt.tried_replica_ids,
            "took_s": round(attempt.age_s(), 4),
        }

    async def _send_failure(self, attempt, route, call, error, responder):
        not_run = error.verdict is verdicts.Verdict.NOT_RUN
        is_late = error.reason is reasons.Refusal.DEADLINE
        status = 503 if not_run else 504 if is_late else 502
        counters.count_refusal(error.reason, route.name)
        self._measure(attempt, route, status)
        retry_after_s = None
        if not_run:
            retry_after_s = self._retry_after_s(attempt, error)
        _LOG.log(
            "request-failed",
            status=status,
            retry_after_s=retry_after_s,
            reason=str(error.reason),
            verdict=str(error.verdict),
            cause=error.message,
            fingerprint=attempt.fingerprint,
            **self._fields(attempt, route, call),
        )
        headers = self._dialect.failure_headers(call.request_id, retry_after_s)
        await responder.send(status, headers)

    def _retry_after_s(self, attempt, error):
        """Return the Retry-After of a request that did not run, in seconds."""
        if error.reason in _CAPACITY_REFUSALS:
            now = asyncio.get_running_loop().time()
            schedule = self._retry_schedules_by_service[attempt.service]
            return schedule.wait_s(now, attempt.remaining_s)
        return error.retry_after or retry_after.MIN_WAIT_S

    def _record_response(self, attempt, route, status):
        now = asyncio.get_running_loop().time()
        self._retry_schedules_by_service[attempt.service].answered(now)
        self._measure(attempt, route, status)

    @staticmethod
    def _measure(attempt, route, status):
        measures.record(
            measures.LIVE_CALLS,
            attempt.age_s(),
            route=route.name,
            status=str(status),
        )

    def policy(self, service):
        """Return the load-balancing policy of `service`."""
        known = self._policies_by_service.get(service)
        if known is None:
            inner = (
                self._near_routing.policy(service, self._rng)
                if self._near_routing
                else expected_latency.LeastExpectedLatency(self._rng)
            )
            known = ejection.OutlierEjection(self._rng, inner)
            self._policies_by_service[service] = known
            self._add_replicas(service, known)
        return known

    def _replicas_changed(self, changed):
        if not changed.is_membership:
            return
        now = asyncio.get_running_loop().time()
        for service, policy in self._policies_by_service.items():
            known = policy.replica_ids.intersection(changed.replica_ids)
            for replica_id in changed.replica_ids:
                usable = self._directory.find_usable(replica_id)
                is_up = usable is not None and usable.service == service
                if is_up and replica_id not in known:
                    policy.replica_up(_replica_facts(usable), now)
                elif not is_up and replica_id in known:
                    policy.replica_down(replica_id, now)
                    self._pool.forget(replica_id)

    def _add_replicas(self, service, policy):
        """Add the usable replicas of a service to its new policy."""
        now = asyncio.get_running_loop().time()
        for replica in self._directory.usable(service):
            policy.replica_up(_replica_facts(replica), now)

    def replica(self, replica_id):
        """Return the registered `facts.Replica` with this id, or None."""
        return self._directory.replicas_by_id.get(replica_id)

    def no_replica_reason(self, service):
        """Return why no replica of a service may receive work."""
        if self._directory.is_evacuated(service):
            return reasons.Refusal.EVACUATED
        return reasons.Refusal.NO_REPLICA

    def _check_may_receive(self, replica):
        """Raise if the failure domain of a replica is evacuated."""
        if not self._directory.may_receive(replica):
            raise client.call_error(
                f"failure domain {replica.failure_domain} is evacuated",
                reasons.Refusal.EVACUATED,
                verdicts.Verdict.NOT_RUN,
            )

    def not_allowed_ids(self, route, organisation, service):
        """Return the replicas outside the allowed regions of a request."""
        rules = self._residency
        bounds = rules and rules.of_request(route, organisation)
        if not bounds:
            return ()
        return [
            replica.replica_id
            for replica in self._directory.usable(service)
            if not bounds.may_run(replica.failure_domain)
        ]

    async def fetch_response(
        self, replica, use, call, request, timeout_s, permit=None
    ):
        """Return the whole response of one replica.

        `use` is the `connection_records.Use` of a connection to it.

        Returns
        -------
        attempts.BufferedResponse

        Raises
        ------
        exceptions.BackendFailed
            Its verdict says whether the replica may have run the request.
        """
        connection = await self.connect(replica, use)
        try:
            reply = await self.send_request(
                connection, replica, call, request, timeout_s, permit=permit
            )
            body = await connection.read_body(MAX_BUFFERED_BYTES)
        except BaseException:
            connection.close()
            raise
        self.release(replica, connection, reply)
        return attempts.BufferedResponse(reply.status, reply.headers, body)

    async def connect(self, replica, use):
        """Return a connection to `replica` for a `connection_records.Use`.

        Raises
        ------
        exceptions.BackendFailed
            If the replica is evacuated or can't be reached.
        """
        self._check_may_receive(replica)
        return await self._pool.acquire(
            replica.replica_id, replica.address, use=use
        )

    def release(self, replica, connection, reply):
        """Return a connection to the pool once its response is read whole."""
        self._pool.release(replica.replica_id, connection, reply)

    def read_event(self, block):
        """Return the `facts.Event` in a block of an event stream, or None."""
        return self._dialect.read_event(block)

    async def send_request(
        self,
        connection,
        replica,
        call,
        request,
        timeout_s,
        resume_after=0,
        permit=None,
    ):
        """Send a request on a connection and return the response's head.

        Parameters
        ----------
        resume_after : int
            Number of the last event that the caller received of a stream.
        permit : cold_replicas.Permit, optional
            Permit to send the request, if the replica may be cold.

        Returns
        -------
        messages.Reply

        Raises
        ------
        exceptions.BackendFailed
            Its verdict says whether the replica may have run the request.
        """
        self._check_may_receive(replica)
        if permit is not None:
            permit.use()
        connection.send(
            request.method,
            request.target,
            self._dialect.replica_headers(
                messages.end_to_end(request.headers),
                replica.name,
                timeout_s,
                resume_after,
                request.organisation,
            ),
            request.body,
        )
        reply, outcome = await responses.read_head(
            connection, self._dialect, call.request_id
        )
        if outcome.is_other:
            self._directory.exclude(replica.replica_id)
        elif outcome.not_run:
            self._fair_sharing.record_refusal(replica)
        self._check(reply, outcome)
        self._report(replica, outcome)
        return reply

    @staticmethod
    def _check(reply, outcome):
        """Raise unless the replica that was called ran the request.

        Also raises if a success has no seal.
        """
        if outcome.is_other:
            raise client.call_error(
                "a different replica answered at this address",
                reasons.Refusal.OTHER_REPLICA,
                verdicts.Verdict.NOT_RUN,
            )
        if outcome.not_run:
            raise client.call_error(
                f"the replica refused with status {reply.status}",
                reasons.Refusal.OVERLOADED,
                verdicts.Verdict.NOT_RUN,
            )
        if reply.status < 300 and not outcome.is_sealed:
            raise client.call_error("the response has no seal")

    def _report(self, replica, outcome):
        if outcome.load:
            report = request_facts.LoadReport(
                replica.replica_id,
                outcome.load.in_flight,
                1,
                outcome.load.slots,
                outcome.load.contention,
            )
            now = asyncio.get_running_loop().time()
            self.policy(replica.service).report(report, now)


def _replica_facts(replica):
    """Return the `request_facts.ReplicaFacts` of a `facts.Replica`."""
    return request_facts.ReplicaFacts(
        replica.replica_id, replica.failure_domain
    )
