"""Holds the ledgers of one service's runs and carries out decisions."""

import asyncio
import functools
import json
import traceback as tracebacks
import typing

from anvilwell_daemon.runs import attempts
from anvilwell_daemon.runs import bytes_store
from anvilwell_daemon.runs import generator as generators
from anvilwell_daemon.runs import run_log
from anvilwell_daemon.runs import waiters
from anvilwell_decisions.samples import actions
from anvilwell_decisions.samples import coordinator as coordinators
from anvilwell_decisions.samples import ledger as ledgers
from anvilwell_decisions.samples import schedule
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs

RECORD_TIMEOUT_S = 10.0
FETCH_RETRY_S = 1.0
FETCH_TRIES = 10
SCORE_TIMEOUT_S = 5.0
BATCH_BYTES = 512 << 10
MAX_TICK_S = 0.25
PROGRESS_PERIOD_S = 2.0

_LOG = logs.get_logger(__name__)


class Parts(typing.NamedTuple):
    """What a holder works with."""

    clock: typing.Any
    store: bytes_store.BytesStore
    copies: typing.Any
    keyvalue: typing.Any
    generator: generators.Generator
    scorer: typing.Any = None


class Holder:
    """Runs the coordinator of one service while its lease is held.

    Parameters
    ----------
    service : str
        The service's name.
    vm_id : str
        This daemon's VM id.
    lease : object
        ``fencing`` and ``check(now)``, which raises
        ``exceptions.Fenced``.
    parts : Parts
        What it works with.
    bound : int
        Staleness bound in versions.
    policy : schedule.Policy, optional
        Which mechanisms of scheduling are on.
    """

    def __init__(self, service, vm_id, lease, parts, *, bound, policy=None):
        self.service = service
        self.lost = asyncio.Event()
        self.failed = False
        self._lease = lease
        self._parts = parts
        self._attempt_prefix = f"{vm_id}-{lease.fencing}"
        self._coordinator = coordinators.Coordinator(
            vm_id,
            lease.fencing,
            bound=bound,
            policy=policy,
            scored=parts.scorer is not None,
        )
        self._logs_by_run = {}
        self._opening_by_run = {}
        self._waiters = waiters.Waiters()
        self._attempts = attempts.Attempts(
            parts.generator,
            parts.clock,
            self._ended,
            functools.partial(self._task_ended, ()),
        )
        self._tasks = set()
        self._handlers_by_kind = {
            actions.WriteChunk: self._write_chunk,
            actions.Accepted: self._wake,
            actions.VersionTaken: self._wake,
            actions.Deliverable: self._wake,
            actions.Score: self._score,
            actions.Replicate: self._replicate,
            actions.Fetch: self._fetch,
            actions.Discard: self._discard,
            actions.Trim: self._trim,
            actions.Dropped: self._count_dropped,
            actions.StepDown: self._step_down,
            schedule.Start: self._start,
            schedule.Cancel: self._cancel,
        }

    @property
    def unfinished(self):
        """How many samples are not recorded yet."""
        ledgers_by_run = self._coordinator.ledgers_by_run
        return sum(led.delivery.missing for led in ledgers_by_run.values())

    def start(self):
        """Begin to tick."""
        self._spawn(self._tick())
        self._spawn(self._report_progress())

    async def stop(self):
        """Give up all work; what is recorded stays."""
        self._lose()
        await self._attempts.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def open_run(self, run, weight):
        """Take over the ledger of `run` if that is not done yet."""
        if run not in self._opening_by_run:
            opening = self._spawn(
                self._open_run(run, weight), told=exceptions.AnvilwellError
            )
            self._opening_by_run[run] = opening
        opening = self._opening_by_run[run]
        await asyncio.wait((opening,))
        if opening.cancelled():
            raise _not_leader(self.service)
        try:
            opening.result()
        except exceptions.AnvilwellError:
            self._opening_by_run.pop(run, None)
            raise

    async def _open_run(self, run, weight):
        log = run_log.RunLog(run, self._parts.keyvalue)
        chunks_by_number, base = await log.read()
        self._logs_by_run[run] = log
        self._carry(
            self._coordinator.open_run(
                run, weight, chunks_by_number, self._now(), base
            )
        )
        ledger = self._coordinator.ledgers_by_run[run]
        await self._waiters.until(
            run, lambda: ledger.active or ledger.stopped, RECORD_TIMEOUT_S
        )

    async def submit(self, step):
        """Record a step; return once that is certain."""
        self._check_lease()
        ledger = self._coordinator.ledgers_by_run[step.run]
        self._carry(self._coordinator.submit(step, self._now()))
        done = await self._waiters.until(
            step.run,
            lambda: ledger.has_step(step.step) or ledger.stopped,
            RECORD_TIMEOUT_S,
        )
        self._check_recorded(done, ledger)

    async def set_version(self, run, version):
        """Record the trainer's version; return once that is certain."""
        self._check_lease()
        ledger = self._coordinator.ledgers_by_run[run]
        self._carry(
            self._coordinator.trainer_version(run, version, self._now())
        )
        done = await self._waiters.until(
            run,
            lambda: ledger.recorded_version == version or ledger.stopped,
            RECORD_TIMEOUT_S,
        )
        self._check_recorded(done, ledger)

    async def collect(self, run, cursor, limit, wait_s):
        """Return the JSON-able batch at `cursor`."""
        deadline = self._now() + wait_s
        while True:
            self._check_lease()
            changes = self._waiters.changes(run)
            batch = self._coordinator.collect(
                run, cursor, limit, self._now(), waiting=wait_s > 0
            )
            self._carry(batch.actions)
            left = deadline - self._now()
            if batch.choices or batch.at_once or left <= 0:
                return self._render(batch)
            await self._waiters.changed(run, changes, left)

    def configure(self, document):
        """Take what the service's document says now."""
        model = document.model
        self._carry(
            self._coordinator.configure(
                model.staleness_bound,
                model.preference,
                document.trainers,
            )
        )

    def replica(self, replica_id, slots, version):
        """Note a replica's slots and version."""
        self._carry(self._coordinator.replica(replica_id, slots, version))

    def replica_lost(self, replica_id):
        """Note that a replica is gone."""
        self._carry(self._coordinator.replica_lost(replica_id, self._now()))

    def published(self, version):
        """Note the latest version."""
        self._carry(self._coordinator.published(version))

    def _render(self, batch):
        rows, next_cursor, size = [], batch.next_cursor, 0
        for position, choice in zip(
            batch.positions, batch.choices, strict=True
        ):
            body = self._parts.store.find(str(choice.sample), choice.digest)
            size += len(body)
            if rows and size > BATCH_BYTES:
                next_cursor = position
                break
            rows.append(_row(position, choice, json.loads(body)))
        whole = [
            step
            for step in batch.steps_whole
            if next_cursor == batch.next_cursor
        ]
        return {
            "samples": rows,
            "next_cursor": next_cursor,
            "step_whole": whole,
        }

    def _now(self):
        return self._parts.clock.monotonic()

    def _check_lease(self):
        if self.lost.is_set():
            raise _not_leader(self.service)
        try:
            self._lease.check(self._now())
        except exceptions.Fenced as error:
            raise _not_leader(self.service) from error

    def _check_recorded(self, done, ledger):
        if ledger.stopped:
            raise _not_leader(self.service)
        if not done:
            raise exceptions.KeyValueUnavailable(
                "the key-value service gives no answer; ask again, "
                "repeating is harmless",
                retry_after=1.0,
            )

    def _carry(self, addressed):
        for run, action in addressed:
            self._handlers_by_kind[type(action)](run, action)

    def _wake(self, run, action):
        self._waiters.wake(run)

    def _write_chunk(self, run, action):
        self._spawn(self._write(run, action))

    async def _write(self, run, chunk):
        ledger = self._coordinator.ledgers_by_run[run]
        try:
            there = await self._logs_by_run[run].write(
                chunk.number, chunk.entries
            )
        except exceptions.KeyValueUnavailable:
            counters.count_retry(reasons.Retry.KEY_VALUE, self.service)
            ledger.write_unknown(self._now())
            return
        if there == chunk.entries:
            event, args = ledger.written, (chunk.number,)
        else:
            event, args = ledger.write_conflict, (chunk.number, there)
        self._feed(run, event, *args, self._now())
        self._waiters.wake(run)

    def _feed(self, run, event, *args):
        self._carry(self._coordinator.on_ledger(run, event, *args))

    def _start(self, run, start):
        sample = start.sample
        attempt = generators.Attempt(
            f"{sample}/{self._attempt_prefix}-{start.attempt}",
            self.service,
            sample,
            self._coordinator.group(sample),
        )
        self._attempts.start(start.attempt, start.replica, attempt)

    def _cancel(self, run, cancel):
        self._attempts.cancel(cancel.attempt)

    def _ended(self, number, outcome):
        if outcome is None:
            # A failing replica must not be asked again in a tight loop.
            self._spawn(self._fail_later(number))
            return
        sample = self._coordinator.sample_of(number)
        if sample is None:
            return
        body = _encode(f"{self._attempt_prefix}-{number}", outcome)
        digest = bytes_store.digest_of(body)
        try:
            self._parts.store.keep(str(sample), digest, body)
        except exceptions.Refused as error:
            counters.count_refusal(error.reason, self.service)
            self._spawn(self._fail_later(number))
            return
        names = tuple(run.version for run in outcome.runs)
        result = ledgers.Result(digest, outcome.tokens, names)
        found = self._coordinator.result(number, result, self._now())
        self._carry(found)

    async def _fail_later(self, number):
        await asyncio.sleep(FETCH_RETRY_S)
        self._carry(self._coordinator.failed(number, self._now()))

    def _score(self, run, action):
        self._spawn(self._ask_scorer(run, action))

    async def _ask_scorer(self, run, action):
        ledger = self._coordinator.ledgers_by_run[run]
        sample = str(action.sample)
        body = json.loads(self._parts.store.find(sample, action.digest))
        try:
            scores = await asyncio.to_thread(
                self._parts.scorer.score,
                {sample: body["text"]},
                timeout_s=SCORE_TIMEOUT_S,
            )
            value = scores[sample].value
        except (exceptions.AnvilwellError, KeyError):
            counters.count_retry(reasons.Retry.SCORER_FAILED, self.service)
            ledger.not_done(action.sample, action.digest, self._now())
            return
        event = ledger.scored
        self._feed(
            run, event, action.sample, action.digest, value, self._now()
        )

    def _replicate(self, run, action):
        self._spawn(self._copy(run, action))

    async def _copy(self, run, action):
        ledger = self._coordinator.ledgers_by_run[run]
        try:
            holders = await self._parts.copies.spread(
                str(action.sample), action.digest
            )
        except exceptions.AnvilwellError as error:
            counters.count_refusal(error.reason, self.service)
            ledger.not_done(action.sample, action.digest, self._now())
            return
        self._feed(
            run,
            ledger.replicated,
            action.sample,
            action.digest,
            holders,
            self._now(),
        )

    def _fetch(self, run, action):
        self._spawn(self._bring(run, action))

    async def _bring(self, run, action):
        ledger = self._coordinator.ledgers_by_run[run]
        choice = action.choice
        for _ in range(FETCH_TRIES):
            found = await self._parts.copies.fetch(
                str(choice.sample), choice.digest, choice.holders
            )
            if found is not None:
                break
            await asyncio.sleep(FETCH_RETRY_S)
        event = ledger.bytes_found if found else ledger.bytes_lost
        self._feed(run, event, action.position)

    def _discard(self, run, action):
        self._spawn(
            self._parts.copies.discard(
                str(action.sample), action.digest, action.holders
            )
        )

    def _trim(self, run, action):
        self._spawn(self._trim_log(run, action))

    async def _trim_log(self, run, action):
        try:
            await self._logs_by_run[run].trim(action.base)
        except exceptions.KeyValueUnavailable:
            counters.count_retry(reasons.Retry.KEY_VALUE, self.service)

    def _count_dropped(self, run, action):
        counters.count_refusal(action.reason, self.service)

    def _step_down(self, run, action):
        _LOG.log("step-down", run=run, holder=action.holder)
        self._lose()

    async def _tick(self):
        while not self.lost.is_set():
            self._carry(self._coordinator.tick(self._now()))
            await asyncio.sleep(MAX_TICK_S)

    async def _report_progress(self):
        while not self.lost.is_set():
            await asyncio.sleep(PROGRESS_PERIOD_S)
            tokens_by_attempt = self._attempts.tokens_by_attempt
            self._carry(
                self._coordinator.progress(tokens_by_attempt, self._now())
            )

    def _spawn(self, work, told=()):
        """Start a task; errors of the classes `told` reach its waiters."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(functools.partial(self._task_ended, told))
        return task

    def _task_ended(self, told, task):
        """Step down if `task` failed: what it should do is not done."""
        error = None if task.cancelled() else task.exception()
        if error is None or isinstance(error, told):
            return
        counters.count_refusal(reasons.Refusal.INTERNAL, self.service)
        trace = "".join(tracebacks.format_exception(error))
        _LOG.log("task-failed", service=self.service, traceback=trace)
        self.failed = True
        self._lose()

    def _lose(self):
        self.lost.set()
        self._waiters.close()


def _encode(attempt, outcome):
    # The attempt makes equal texts differ, so that one can be discarded.
    runs = [[run.version, run.tokens] for run in outcome.runs]
    body = {"attempt": attempt, "text": outcome.text, "runs": runs}
    return json.dumps(body, ensure_ascii=False).encode()


def _row(position, choice, body):
    sample = choice.sample
    return {
        "position": position,
        "run": sample.run,
        "step": sample.step,
        "group": sample.group,
        "index": sample.index,
        "text": body["text"],
        "tokens": choice.tokens,
        "token_runs": body["runs"],
        "versions": list(choice.versions),
        "score": choice.score,
        "digest": choice.digest,
    }


def _not_leader(service):
    return exceptions.Refused(
        f"the runs of {service} moved to another entry; ask again",
        reason=reasons.Refusal.NOT_LEADER,
        retry_after=1.0,
    )
