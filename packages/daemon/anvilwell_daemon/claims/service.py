"""The service ``claims``: forwards each idempotency key at most once."""

import asyncio
import functools
import typing
import uuid

from anvilwell_daemon.claims import answers
from anvilwell_daemon.claims import store as stores
from anvilwell_decisions.requests import claims
from anvilwell_decisions.requests import records
from anvilwell_kernel import clock as clocks
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import membership as member_messages
from anvilwell_kernel import reasons
from anvilwell_kernel import services
from anvilwell_kernel import verdict as verdicts
from anvilwell_kernel import web

OUTCOMES_RULE = "/v1/outcomes/<key>"
TEAM = "Anvilwell-Team"
CLAIM_WAIT_S = 2.0
TICK_S = 0.05
LOST_PAUSE_S = 0.2
DRAIN_S = 2.0
RETRY_AFTER_S = 1.0

_TEXTS_BY_REASON = {
    reasons.Refusal.CONFLICT: (
        "this idempotency key was used for another request"
    ),
    reasons.Refusal.KEY_IN_PROGRESS: (
        "a request with this idempotency key is in progress"
    ),
    reasons.Refusal.OUTCOME_UNKNOWN: (
        "a request with this idempotency key may have run; it will not be"
        " run again"
    ),
    reasons.Refusal.KEY_VALUE_UNAVAILABLE: (
        "the claim could not be recorded; the request was not run"
    ),
    reasons.Refusal.DEADLINE: "the claim was recorded after its time limit",
}


class OutcomeBody(typing.TypedDict):
    """The state of an idempotency key, as JSON for its caller."""

    key: str
    service: str
    state: str
    status: int | None


class Claims(services.Service):
    """Records a claim before a non-idempotent call is forwarded.

    Parameters
    ----------
    vm_id : str
        The id of this entry.
    clock : clock.Clock
        Source of time.
    retention_s : float
        Minimum time for which a key is stored, in seconds.
    """

    name = "claims"
    needs = ("dispatcher", "keyvalue", "web")

    def __init__(self, vm_id, clock=None, retention_s=stores.RETENTION_S):
        self._vm_id = vm_id
        self._clock = clock or clocks.SystemClock()
        self._retention_s = retention_s
        self._waiters_by_id = {}
        self._tasks = set()
        self._tracker = None
        self._store = None
        self._dispatcher = None
        self._loop = None

    async def start(self, kernel):
        """Look up the required services and register the route."""
        self._loop = asyncio.get_running_loop()
        self._dispatcher = kernel.get("dispatcher")
        self._store = stores.ClaimStore(
            kernel.get("keyvalue"), self._clock, self._retention_s
        )
        self._tracker = claims.ClaimTracker(self._owner(kernel))
        if kernel.has("membership"):
            membership = kernel.get("membership")
            membership.subscribe(self._follow)
            for member in list(membership.members_by_id.values()):
                self._follow(None, member)
        kernel.get("web").route(OUTCOMES_RULE, self._show_outcome)
        self._spawn(self._tick())

    async def drain(self):
        """Wait up to ``DRAIN_S`` seconds for outcomes to be recorded."""
        until = self._now() + DRAIN_S
        while not self._tracker.is_settled and self._now() < until:
            await asyncio.sleep(TICK_S)

    async def stop(self):
        """Refuse waiting calls; none of them has been forwarded."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for claim_id in list(self._waiters_by_id):
            self._answer(
                claims.Reject(
                    claim_id,
                    reasons.Refusal.DRAINING,
                    verdicts.Verdict.NOT_RUN,
                )
            )

    def open(self, call):
        """Forward a non-idempotent `call` and return its response.

        Blocks. A call without a key is forwarded without a claim: it
        runs at most once, but the caller's retry is a new request.

        Raises
        ------
        exceptions.AnvilwellError
            Its verdict covers every request with this key, not only
            this one.
        """
        if not call.key:
            return self._dispatcher.open(call)
        forward_by = self._now() + call.deadline_s
        claim = self._claim(call)
        action = asyncio.run_coroutine_threadsafe(claim, self._loop).result()
        if isinstance(action, claims.Replay):
            return _replay(action.outcome)
        if isinstance(action, claims.Reject):
            raise _refusal(action)
        return self._forward(call, action.claim_id, forward_by)

    async def outcome(self, service, team, key):
        """Return the `records.Record` of a caller's key, or None."""
        return await self._store.read(records.store_key(service, team, key))

    def _forward(self, call, claim_id, forward_by):
        settle = functools.partial(self._settle_soon, claim_id)
        try:
            self._check_time(forward_by)
            answer = self._dispatcher.open(call)
        except exceptions.AnvilwellError as error:
            settle(error.verdict, None)
            raise
        except BaseException:
            settle(verdicts.Verdict.MAY_HAVE_RUN, None)
            raise
        return answers.RecordedAnswer(answer, settle)

    def _check_time(self, forward_by):
        # The process may have been paused. The deadline is far shorter
        # than the retention of the record, so a call that is forwarded
        # before its deadline is still covered by its claim.
        if self._now() >= forward_by:
            raise exceptions.Timeout(
                "the deadline passed before the call was forwarded",
                verdict=verdicts.Verdict.NOT_RUN,
            )

    async def _claim(self, call):
        claim_id = uuid.uuid4().hex
        wait_s = min(call.deadline_s, CLAIM_WAIT_S)
        claim_request = claims.ClaimRequest(
            claim_id,
            records.store_key(call.service, call.team, call.key),
            records.request_digest(call.method, call.path, call.body),
            self._now() + wait_s,
        )
        waiter = self._loop.create_future()
        self._waiters_by_id[claim_id] = waiter
        self._carry_out(self._tracker.claim(claim_request, self._now()))
        return await waiter

    def _settle_soon(self, claim_id, verdict, outcome):
        self._loop.call_soon_threadsafe(
            self._settle, claim_id, verdict, outcome
        )

    def _settle(self, claim_id, verdict, outcome):
        now = self._now()
        self._carry_out(self._tracker.settle(claim_id, verdict, outcome, now))

    def _carry_out(self, actions):
        for action in actions:
            if isinstance(action, claims.Write):
                self._spawn(self._write(action))
            else:
                self._answer(action)

    def _answer(self, action):
        waiter = self._waiters_by_id.pop(action.claim_id, None)
        if waiter and not waiter.done():
            waiter.set_result(action)

    async def _write(self, write):
        result = await self._store.write(write.swaps)
        if isinstance(result, claims.WriteUnknown):
            await asyncio.sleep(LOST_PAUSE_S)
        now = self._now()
        self._carry_out(self._tracker.written(write.write_id, result, now))

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            self._carry_out(self._tracker.expire(self._now()))

    def _owner(self, kernel):
        if kernel.has("membership"):
            return _owner_of(kernel.get("membership").me)
        return f"{self._vm_id}/{uuid.uuid4().hex}"

    def _follow(self, before, after):
        if before and before.incarnation != after.incarnation:
            self._tracker.owner_gone(_owner_of(before))
        if after.state is member_messages.State.DEAD:
            self._tracker.owner_gone(_owner_of(after))
        else:
            self._tracker.owner_alive(_owner_of(after))

    def _show_outcome(self, request, key):
        service = request.args.get("service", "")
        if not service:
            raise exceptions.BadRequest(
                "the query parameter is missing: ?service=NAME"
            )
        team = request.headers.get(TEAM, "")
        reading = self.outcome(service, team, key)
        record = asyncio.run_coroutine_threadsafe(reading, self._loop).result()
        return _outcome_response(service, key, record)

    def _now(self):
        return self._clock.monotonic()

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _owner_of(member):
    return f"{member.vm_id}/{member.incarnation}"


def _replay(outcome):
    if outcome.is_body_kept:
        return answers.ReplayedAnswer(outcome)
    raise exceptions.Conflict(
        f"this request ran and was answered with status {outcome.status};"
        " its response was too long to be recorded",
        reason=reasons.Refusal.ALREADY_RAN,
        verdict=verdicts.Verdict.RAN,
    )


def _refusal(reject):
    message = _TEXTS_BY_REASON.get(reject.reason, "the entry is draining")
    is_final = reject.reason in (
        reasons.Refusal.CONFLICT,
        reasons.Refusal.OUTCOME_UNKNOWN,
    )
    kind = exceptions.Conflict if is_final else exceptions.Refused
    return kind(
        message,
        reason=reject.reason,
        verdict=reject.verdict,
        retry_after=None if is_final else RETRY_AFTER_S,
    )


def _outcome_response(service, key, record):
    outcome = record.outcome if record else None
    body = OutcomeBody(
        key=key,
        service=service,
        state=str(record.state) if record else "none",
        status=outcome.status if outcome else None,
    )
    return web.json_response(body)
