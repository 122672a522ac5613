"""Carries proposals of this entry to their end."""

import asyncio
import uuid

from anvilwell_decisions.configuration import flows
from anvilwell_decisions.configuration import outcomes
from anvilwell_decisions.configuration import proposal
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import logs

TICK_S = 0.1
CONFIRM_S = 1.0

_LOG = logs.get_logger(__name__)


class Run:
    """One proposal under way.

    Parameters
    ----------
    request : outcomes.Request
        The change.
    in_force : messages.Document
        What is in force at this entry.
    store : store.Store
        The key-value service.
    spread : spread.Spread
        The way to the members.
    bounds : limits.Limits
        The protocol's bounds.
    clock : clock.Clock
        Monotonic time.
    """

    def __init__(self, request, in_force, store, spread, bounds, clock):
        self.outcome = asyncio.get_running_loop().create_future()
        self._store = store
        self._spread = spread
        self._clock = clock
        self._tasks = set()
        self._proposal = proposal.Proposal(
            request, uuid.uuid4().hex, in_force, bounds, clock.monotonic()
        )

    async def run(self):
        """Go on until the proposal has ended, answered or not."""
        self._act(self._proposal.start())
        try:
            while not self._is_done():
                await asyncio.wait(
                    self._tasks or {self._spawn(asyncio.sleep(TICK_S))},
                    timeout=TICK_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                self._act(self._proposal.tick(self._clock.monotonic()))
        finally:
            for task in list(self._tasks):
                task.cancel()
            self._answer(
                outcomes.Outcome(
                    outcomes.OutcomeKind.UNKNOWN,
                    0,
                    self._proposal.request.change_id,
                    [],
                    [],
                    str(reasons.Refusal.OUTCOME_UNKNOWN),
                )
            )

    def _is_done(self):
        return self._proposal.phase is proposal.Phase.DONE and not self._tasks

    def _act(self, actions):
        for action in actions:
            match action:
                case proposal.ReportOutcome(outcome):
                    self._answer(outcome)
                case _:
                    self._spawn(self._carry_out(action))

    async def _carry_out(self, action):
        match action:
            case proposal.Read():
                await self._read()
            case proposal.SendPrepare(prepare):
                await self._spread.prepare(prepare, self._take)
            case proposal.CompareAndSwap():
                await self._swap(action)
            case proposal.SendCommit(message) | proposal.SendAbort(message):
                await self._spread.tell(message)

    async def _read(self):
        service = self._proposal.request.service
        try:
            reading = await self._store.run(flows.read_keys(service))
        except exceptions.MalformedMessage as error:
            _LOG.log("unreadable", service=service, cause=error.message)
            reading = None
        now = self._clock.monotonic()
        if reading is None:
            self._act(self._proposal.on_read_failed(now))
        else:
            self._act(self._proposal.on_reading(reading, now))

    async def _swap(self, action):
        answer = await self._store.swap(action)
        now = self._clock.monotonic()
        if answer.landed is None:
            lost = self._proposal.on_swap_lost(answer.never_sent, now)
            self._act(lost)
        else:
            self._act(self._proposal.on_swap(answer.landed, now))

    def _take(self, answer):
        now = self._clock.monotonic()
        self._act(self._proposal.on_answer(answer, now))

    def _answer(self, outcome):
        if not self.outcome.done():
            self.outcome.set_result(outcome)

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            _LOG.log("failed", cause=repr(task.exception()))


class Proposer:
    """Proposes changes one after the other for each service.

    A refusal by a race with another operator is tried again, with
    jitter, until the change's time is up.

    Parameters
    ----------
    make_run : callable
        Returns a `Run` for an ``outcomes.Request`` and bounds.
    bounds : limits.Limits
        The protocol's bounds.
    rng : random.Random
        Jitter.
    clock : clock.Clock
        Monotonic time.
    """

    def __init__(self, make_run, bounds, rng, clock):
        self._make_run = make_run
        self._bounds = bounds
        self._rng = rng
        self._clock = clock
        self._locks_by_service = {}
        self._tasks = set()

    async def propose(self, request):
        """Return the `outcomes.Outcome` of `request`."""
        lock = self._locks_by_service.setdefault(
            request.service, asyncio.Lock()
        )
        until = self._clock.monotonic() + self._bounds.propose_s
        async with lock:
            while True:
                outcome = await self._propose_once(request, until)
                is_late = self._clock.monotonic() >= until
                if not outcome.is_transient or is_late:
                    return outcome
                await asyncio.sleep(
                    self._rng.uniform(0, 2 * self._bounds.retry_s)
                )

    async def stop(self):
        """Give up what is under way; members resolve it."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _propose_once(self, request, until):
        left_s = max(0.0, until - self._clock.monotonic())
        run = self._make_run(request, self._bounds._replace(propose_s=left_s))
        task = asyncio.create_task(run.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        outcome = await run.outcome
        if outcome.outcome is not outcomes.OutcomeKind.UNKNOWN:
            # Commits are on their way; most have arrived when it ends.
            await asyncio.wait([task], timeout=CONFIRM_S)
        return outcome


def refuse(request, reason, problems):
    """Return the outcome of a change that was never proposed."""
    return outcomes.Outcome(
        outcomes.OutcomeKind.REFUSED,
        0,
        request.change_id,
        list(problems),
        [],
        str(reason or reasons.Refusal.BAD_DOCUMENT),
    )
