"""Carries a caller's request to a replica and the answer back."""

import asyncio
import random
import typing

from anvilwell_decisions.requests import ejection
from anvilwell_decisions.requests import facts as request_facts
from anvilwell_decisions.requests import routing
from anvilwell_decisions.traffic import table
from anvilwell_gateway.http import client
from anvilwell_gateway.http import messages
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

# Answers up to this size are taken whole before any of it is passed on,
# so that a broken one can be asked again elsewhere.
MAX_HELD_BYTES = 1 << 20
# A second replica is asked when the first has taken this share of the
# target latency; both together stay within it if the second is sound.
HEDGE_SHARE = 0.45
# When a caller may come back after a refusal, in seconds.
RETRY_AFTER_S = 0.25
# Time kept for the answer's way back, in seconds.
RETURN_MARGIN_S = 0.005

_LOG = logs.get_logger(__name__)


class Held(typing.NamedTuple):
    """A whole answer of a replica."""

    status: int
    headers: tuple
    body: bytes


class Forwarder:
    """Sends requests of plain routes to replicas.

    Parameters
    ----------
    dialect : dialect.Dialect
        How replicas are spoken to.
    directory : directory.Directory
        Which replicas there are.
    pool : client.Pool
        Connections to them.
    configuration : configuration.ConfigurationFollower
        What decided the route; its version is logged.
    """

    def __init__(self, dialect, directory, pool, configuration, rng=None):
        self._configuration = configuration
        self._dialect = dialect
        self._directory = directory
        self._pool = pool
        self._rng = rng or random.Random()
        self._policies_by_service = {}
        directory.listen(self._replicas_changed)

    async def forward(self, route, call, request, responder):
        """Answer `request`, which `route` allows, through `responder`."""
        attempt = _Forwarding(self, route, call, request)
        try:
            held = await attempt.run()
        except exceptions.AnvilwellError as error:
            await self._fail(attempt, route, call, error, responder)
            return
        _LOG.routine(
            "request-answered",
            request_id=call.request_id,
            route=route.name,
            configuration=self._configuration.current.version,
            status=held.status,
            replicas=attempt.tried,
            took_s=round(attempt.age_s(), 4),
        )
        headers = messages.end_to_end(held.headers)
        await responder.send(held.status, headers, held.body)

    async def _fail(self, attempt, route, call, error, responder):
        not_run = error.verdict is verdicts.Verdict.NOT_RUN
        is_late = error.reason is reasons.Refusal.DEADLINE
        status = 503 if not_run else 504 if is_late else 502
        counters.count_refusal(error.reason, route.name)
        _LOG.log(
            "request-failed",
            request_id=call.request_id,
            route=route.name,
            configuration=self._configuration.current.version,
            status=status,
            reason=str(error.reason),
            verdict=str(error.verdict),
            cause=error.message,
            replicas=attempt.tried,
            took_s=round(attempt.age_s(), 4),
        )
        retry_after_s = RETRY_AFTER_S if not_run else None
        headers = self._dialect.failure_headers(call.request_id, retry_after_s)
        await responder.send(status, headers)

    def policy(self, service):
        """Return the policy that chooses replicas of `service`."""
        known = self._policies_by_service.get(service)
        if known is None:
            inner = routing.LeastOutstanding(self._rng)
            known = ejection.OutlierEjection(self._rng, inner)
            self._policies_by_service[service] = known
            self._fill(service, known)
        return known

    def _replicas_changed(self):
        for service, policy in self._policies_by_service.items():
            self._fill(service, policy)

    def _fill(self, service, policy):
        now = asyncio.get_running_loop().time()
        usable = {r.replica_id for r in self._directory.usable(service)}
        for replica_id in policy.known_ids - usable:
            policy.replica_down(replica_id, now)
            self._pool.forget(replica_id)
        for replica_id in usable - policy.known_ids:
            up = request_facts.ReplicaFacts(replica_id)
            policy.replica_up(up, now)

    def replica(self, replica_id):
        """Return what is registered of a replica, or None."""
        return self._directory.replicas_by_id.get(replica_id)

    async def send(self, replica, route, call, request, timeout_s):
        """Return the `Held` answer of one replica.

        Raises
        ------
        exceptions.BackendFailed
            With the verdict of what happened.
        """
        key = replica.replica_id
        connection = await self._pool.take(key, replica.address)
        try:
            connection.send(
                request.method,
                request.target,
                self._dialect.to_replica(
                    messages.end_to_end(request.headers), key, timeout_s
                ),
                request.body,
            )
            reply = await connection.read_head()
            outcome = self._dialect.read_outcome(reply)
            self._check(call, reply, outcome)
            body = await connection.read_body(MAX_HELD_BYTES)
        except BaseException:
            connection.close()
            raise
        self._report(replica, route, outcome)
        self._pool.give(key, connection, reply)
        return Held(reply.status, reply.headers, body)

    @staticmethod
    def _check(call, reply, outcome):
        """Raise if the answer is another's, or says "not run"."""
        if outcome.not_run:
            raise client.failed(
                f"refused with {reply.status}",
                reasons.Refusal.OVERLOADED,
                verdicts.Verdict.NOT_RUN,
            )
        if outcome.request_id and outcome.request_id != call.request_id:
            raise client.failed("the answer is another request's")
        if reply.status < 300 and not outcome.is_sealed:
            raise client.failed("the answer has no seal")

    def _report(self, replica, route, outcome):
        if outcome.slots:
            report = request_facts.LoadReport(
                replica.replica_id,
                outcome.running + outcome.waiting,
                1,
                outcome.slots,
            )
            now = asyncio.get_running_loop().time()
            self.policy(replica.service).report(report, now)


class _Forwarding:
    """The attempts at one request."""

    def __init__(self, forwarder, route, call, request):
        self._forwarder = forwarder
        self._route = route
        self._call = call
        self._request = request
        self._service = table.choose_service(route, random)
        self._loop = asyncio.get_running_loop()
        self._limit_s = min(
            route.timeout_s,
            call.timeout_s if call.timeout_s is not None else route.timeout_s,
        )
        self._deadline = request.received_at + self._limit_s
        self._verdict = verdicts.Verdict.NOT_RUN
        self._last_error = None
        self._unreached = 0
        self.tried = []

    def age_s(self):
        """Return how long ago the request came, in seconds."""
        return self._loop.time() - self._request.received_at

    async def run(self):
        """Return the `Held` answer.

        Raises
        ------
        exceptions.AnvilwellError
            With the verdict of all attempts together.
        """
        tasks = set()
        try:
            async with asyncio.timeout_at(self._deadline - RETURN_MARGIN_S):
                return await self._race(tasks)
        except TimeoutError:
            verdict = self._verdict
            if self.tried:
                verdict = verdicts.Verdict.MAY_HAVE_RUN
            raise exceptions.Timeout(
                f"no whole answer in {self._limit_s:g} s", verdict=verdict
            ) from None
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _race(self, tasks):
        """Ask replicas until one has answered whole."""
        while True:
            if not tasks and not self._start(tasks):
                raise self._exhausted()
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
                error = task.exception()
                if error is None:
                    return task.result()
                self._note(error, task.get_name())

    @property
    def _sent(self):
        """How many replicas the request was sent to, or is being sent to.

        A replica that took no connection was sent nothing.
        """
        return len(self.tried) - self._unreached

    def _hedge_s(self, tasks):
        may_more = self._sent < self._route.max_replicas
        if not self._route.is_idempotent or not may_more or len(tasks) > 1:
            return None
        return HEDGE_SHARE * self._route.target_latency_s

    def _start(self, tasks):
        """Start an attempt at another replica; return whether one is."""
        may_repeat = (
            self._route.is_idempotent
            or self._verdict is verdicts.Verdict.NOT_RUN
        )
        if self._sent >= self._route.max_replicas or not may_repeat:
            return False
        now = self._loop.time()
        policy = self._forwarder.policy(self._service)
        wanted = request_facts.RequestFacts(
            self._call.request_id, excluded=frozenset(self.tried)
        )
        replica_id = policy.choose(wanted, now)
        replica = replica_id and self._forwarder.replica(replica_id)
        if not replica:
            return False
        if self.tried:
            counters.count_retry(
                reasons.Retry.HEDGE if tasks else reasons.Retry.BACKEND_FAILED
            )
        self.tried.append(replica_id)
        attempt = self._attempt(replica, policy)
        tasks.add(asyncio.create_task(attempt, name=replica_id))
        return True

    async def _attempt(self, replica, policy):
        replica_id = replica.replica_id
        started_at = self._loop.time()
        policy.started(replica_id, started_at)
        failed = True
        try:
            held = await self._forwarder.send(
                replica,
                self._route,
                self._call,
                self._request,
                self._deadline - started_at,
            )
            failed = held.status >= 500
            return held
        except asyncio.CancelledError:
            # Slower than a second replica that was asked later.
            hedge_s = HEDGE_SHARE * self._route.target_latency_s
            failed = self._loop.time() - started_at > hedge_s
            raise
        finally:
            now = self._loop.time()
            policy.ended(
                request_facts.Ended(replica_id, failed, now - started_at), now
            )

    def _note(self, error, replica_id):
        if not isinstance(error, exceptions.AnvilwellError):
            raise error
        self._last_error = error
        self._unreached += error.reason is reasons.Refusal.CONNECT_FAILED
        self._verdict = verdicts.combine(self._verdict, error.verdict)
        _LOG.log(
            "attempt-failed",
            request_id=self._call.request_id,
            replica=replica_id,
            reason=str(error.reason),
            verdict=str(error.verdict),
            cause=error.message,
        )

    def _exhausted(self):
        if self._last_error is None:
            return exceptions.Refused(
                f"no replica of {self._service}",
                reason=reasons.Refusal.NO_REPLICA,
            )
        return exceptions.BackendFailed(
            self._last_error.message,
            reason=self._last_error.reason,
            verdict=self._verdict,
        )
