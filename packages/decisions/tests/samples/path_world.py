"""Simulates one run with faults at chosen points, and checks its outcome.

Processes are fakes that exchange messages after a delay. A fault is injected
into one process when a step of the run's path is first reached.
"""

import collections
import heapq
import itertools
import typing

from anvilwell_decisions.samples import coordinator as coordinators
from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import ledger as ledgers
from anvilwell_kernel import exceptions

STEPS = (
    "submit",
    "start",
    "token",
    "end",
    "score",
    "choose",
    "record",
    "send",
    "acknowledge",
)
PROCESSES = ("trainer", "entry", "engine", "scorer", "second", "keyvalue")
KINDS = ("crash", "pause", "lost")
DELAY_S = 0.01
TIMEOUT_S = 1.0
RESTART_S = 1.5
LEASE_S = 2.0
PAUSE_S = 3.0
TICK_S = 0.25
END_S = 120.0
BOUND = 0


class Point(typing.NamedTuple):
    """A fault of `kind` in `process`, when `step` is first reached."""

    step: str
    process: str
    kind: str


POINTS = tuple(
    itertools.starmap(Point, itertools.product(*(STEPS, PROCESSES, KINDS)))
)


class Process:
    """Receives messages: delayed while paused, dropped while down."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.incarnation = 0
        self.up_at = 0.0
        self.paused_until = 0.0
        self.drops = 0

    def crash(self):
        self.incarnation += 1
        self.up_at = self.world.now + RESTART_S

    def pause(self):
        self.paused_until = self.world.now + PAUSE_S

    def deliver(self, incarnation, function, args):
        if incarnation != self.incarnation or self.world.now < self.up_at:
            return
        if self.world.now < self.paused_until:
            wait = self.paused_until - self.world.now
            self.world.after(wait, self.deliver, incarnation, function, args)
            return
        function(*args)


class Entry(Process):
    """Holds the ledger, or still acts as if it did after a takeover."""

    checks_lease = True

    def __init__(self, world, number):
        super().__init__(world, f"entry{number}")
        self.lease_until = float("inf")
        self.bodies = {}
        self.attempts = {}
        self.coordinator = coordinators.Coordinator(
            self.name, number, bound=BOUND, scored=True
        )
        self.coordinator.replica("e", 8, world.engine_version)
        chunks = dict(world.log)
        self.perform(self.coordinator.open_run("r", 1.0, chunks, world.now))
        self.perform(self.coordinator.published(world.engine_version))
        self.tick()

    @property
    def ledger(self):
        return self.coordinator.ledgers_by_run["r"]

    def tick(self):
        self.perform(self.coordinator.tick(self.world.now))
        self.world.send(self, TICK_S, self.tick)

    def pass_to_ledger(self, event, *args):
        self.perform(self.coordinator.on_ledger("r", event, *args))

    def perform(self, addressed):
        for _, action in addressed:
            handler = getattr(self, f"on_{type(action).__name__}", None)
            if handler:
                handler(action)

    def on_WriteChunk(self, chunk):
        if any(hasattr(entry, "digest") for entry in chunk.entries):
            self.world.reach("record")
        self.world.send(self.world.keyvalue, DELAY_S, self.write, chunk)
        timeout = (self.write_timeout, chunk.number)
        self.world.send(self, TIMEOUT_S, *timeout)

    def on_StepDown(self, action):
        self.world.after(RESTART_S, self.world.take_over, self)

    def write(self, chunk):
        there = self.world.log.setdefault(chunk.number, chunk.entries)
        if self.world.keyvalue.drops:
            self.world.keyvalue.drops -= 1
            return
        self.world.send(self, DELAY_S, self.written, chunk, there)

    def written(self, chunk, there):
        if there == chunk.entries:
            self.pass_to_ledger(
                self.ledger.written, chunk.number, self.world.now
            )
        else:
            event = self.ledger.write_conflict
            self.pass_to_ledger(event, chunk.number, there, self.world.now)

    def write_timeout(self, number):
        self.ledger.write_unknown(self.world.now)

    def on_Score(self, action):
        self.world.reach("score")
        self.world.send(self.world.scorer, DELAY_S, self.score, action)
        self.world.send(self, TIMEOUT_S, self.not_done, action)

    def score(self, action):
        if self.world.scorer.drops:
            self.world.scorer.drops -= 1
            return
        answer = (action.sample, action.digest, 0.5)
        self.world.send(self, DELAY_S, self.scored, *answer)

    def scored(self, sample, digest, value):
        self.pass_to_ledger(
            self.ledger.scored, sample, digest, value, self.world.now
        )

    def not_done(self, action):
        ledger, now = self.ledger, self.world.now
        if not ledger.awaits(action.sample, action.digest, type(action)):
            return
        ledger.not_done(action.sample, action.digest, now)

    def on_Replicate(self, action):
        body = self.bodies[action.digest]
        keep = (self.keep, action, body)
        self.world.send(self.world.second, DELAY_S, *keep)
        self.world.send(self, TIMEOUT_S, self.not_done, action)

    def keep(self, action, body):
        self.world.second_bodies[action.digest] = body
        if self.world.second.drops:
            self.world.second.drops -= 1
            return
        self.world.send(self, DELAY_S, self.kept, action)

    def kept(self, action):
        holders = (self.name, "second")
        event = self.ledger.replicated
        self.pass_to_ledger(
            event, action.sample, action.digest, holders, self.world.now
        )

    def on_Fetch(self, action):
        self.world.send(self.world.second, DELAY_S, self.fetch, action)
        retry = (self.fetch_again, action)
        self.world.send(self, TIMEOUT_S, *retry)

    def fetch(self, action):
        body = self.world.second_bodies.get(action.choice.digest)
        self.world.send(self, DELAY_S, self.fetched, action, body)

    def fetched(self, action, body):
        if body is None:
            self.pass_to_ledger(self.ledger.bytes_lost, action.position)
            return
        self.bodies[action.choice.digest] = body
        self.pass_to_ledger(self.ledger.bytes_found, action.position)

    def fetch_again(self, action):
        if self.ledger.delivery.is_fetching(action.position):
            self.on_Fetch(action)

    def on_Start(self, start):
        self.world.reach("start")
        begin = (self.world.begin, self, start, self.incarnation)
        self.world.send(self.world.engine, DELAY_S, *begin)
        engine = self.world.engine
        is_up = self.world.now >= engine.up_at
        self.attempts[start.attempt] = engine.incarnation if is_up else None
        self.world.send(self, TICK_S, self.watch, start.attempt)

    def watch(self, attempt):
        """Fail an attempt if its engine has crashed since it started."""
        if attempt not in self.attempts:
            return
        if self.attempts[attempt] != self.world.engine.incarnation:
            del self.attempts[attempt]
            self.perform(self.coordinator.failed(attempt, self.world.now))
            return
        self.world.send(self, TICK_S, self.watch, attempt)

    def ended(self, attempt, result, body):
        self.attempts.pop(attempt, None)
        self.bodies[result.digest] = body
        self.world.reach("choose")
        self.perform(self.coordinator.result(attempt, result, self.world.now))

    def lost(self, attempt):
        self.attempts.pop(attempt, None)
        self.perform(self.coordinator.failed(attempt, self.world.now))

    def collect(self, cursor):
        if self.checks_lease and self.world.now > self.lease_until:
            raise exceptions.Fenced("the lease has lapsed")
        batch = self.coordinator.collect("r", cursor, 9, self.world.now)
        self.perform(batch.actions)
        rows = [
            (position, choice, self.bodies[choice.digest])
            for position, choice in zip(
                batch.positions, batch.choices, strict=True
            )
        ]
        return rows, batch.next_cursor, batch.steps_whole


class TrainerState(typing.NamedTuple):
    """The state that a trainer restores after a crash."""

    cursor: int
    rows: tuple
    step: int
    version: int


class Trainer(Process):
    """Trains two steps; saves its state only when a step is complete."""

    def __init__(self, world):
        super().__init__(world, "trainer")
        self.saved = TrainerState(0, (), 1, 1)
        self.is_done = False
        self.turn = 0
        self.restart()

    def crash(self):
        super().crash()
        self.world.after(RESTART_S, self.restart)

    def restart(self):
        self.state = self.saved
        self.call_number = 0
        self.todo = collections.deque(
            [("submit", 1), ("submit", 2), ("version", self.state.version)]
        )
        self.world.send(self, DELAY_S, self.send_next)

    def send_next(self):
        """Send the next call; send it again if no response arrives."""
        if self.is_done:
            return
        self.call_number += 1
        call = self.todo[0] if self.todo else ("collect", self.state.cursor)
        if call[0] == "collect" and call[1]:
            self.world.reach("acknowledge")
        if call[0] == "submit":
            self.world.reach("submit")
        entry = self.world.entries[self.turn % len(self.world.entries)]
        self.world.send(
            entry,
            DELAY_S,
            self.world.serve,
            entry,
            self.call_number,
            self.incarnation,
            call,
        )
        self.world.send(self, TIMEOUT_S, self.time_out, self.call_number)

    def time_out(self, number):
        if number == self.call_number:
            self.turn += 1
            self.send_next()

    def receive(self, number, call, answer):
        if number != self.call_number:
            return  # a response to a call that timed out
        self.call_number += 1
        if answer is None:
            self.turn += 1
        if answer is not None and call[0] != "collect":
            self.todo.popleft()
        elif answer is not None:
            self.take(*answer)
        self.world.send(self, TICK_S, self.send_next)

    def take(self, rows, cursor, whole):
        ages = [
            self.state.version - min(map(int, row[1].versions)) for row in rows
        ]
        self.world.ages += ages
        kept = (*self.state.rows, *rows)
        self.state = self.state._replace(cursor=cursor, rows=kept)
        if self.state.step not in whole:
            return
        step = self.state.step + 1
        self.state = self.state._replace(step=step, version=step)
        self.saved = self.state
        if step > 2:
            self.is_done = True
            return
        self.world.publish(step)
        self.todo.append(("version", step))


class World:
    """Runs one simulation until the trainer is done."""

    def __init__(self, points):
        self.now = 0.0
        self.points = list(points)
        self.queue = []
        self.numbers = itertools.count()
        self.log = {}
        self.true_by_digest = {}
        self.ages = []
        self.second_bodies = {}
        self.engine_version = 1
        self.running = {}
        self.engine = Process(self, "engine")
        self.scorer = Process(self, "scorer")
        self.second = Process(self, "second")
        self.keyvalue = Process(self, "keyvalue")
        self.incarnations = itertools.count(1)
        self.entry = Entry(self, next(self.incarnations))
        self.entries = [self.entry]
        self.trainer = Trainer(self)

    def after(self, delay_s, function, *args):
        item = (self.now + delay_s, next(self.numbers), function, args)
        heapq.heappush(self.queue, item)

    def send(self, process, delay_s, function, *args):
        """Send a message: `process` runs ``function(*args)``."""
        self.after(
            delay_s, process.deliver, process.incarnation, function, args
        )

    def run(self):
        while self.queue and not self.trainer.is_done and self.now < END_S:
            self.now, _, function, args = heapq.heappop(self.queue)
            function(*args)
        return self

    def reach(self, step):
        """Inject the faults of `step` now, each only once."""
        due = [point for point in self.points if point.step == step]
        self.points = [point for point in self.points if point not in due]
        for point in due:
            # The current call still completes before the fault.
            self.after(0.0, self.inject, point)

    def inject(self, point):
        process = getattr(self, point.process)
        if point.kind == "lost":
            process.drops += 1
        elif point.kind == "crash":
            process.crash()
        else:
            process.pause()
        if point.process == "entry" and point.kind != "lost":
            process.lease_until = self.now + LEASE_S
            self.after(LEASE_S, self.take_over, process)
        if point.process == "second" and point.kind == "crash":
            self.second_bodies.clear()

    def take_over(self, entry):
        if self.entry is entry:
            self.entry = Entry(self, next(self.incarnations))
            self.entries.append(self.entry)
            self.entries = [e for e in self.entries if not e.incarnation]

    def publish(self, version):
        self.engine_version = version
        entry = self.entry
        self.send(entry, DELAY_S, self.announce_version, entry, version)

    def announce_version(self, entry, version):
        entry.perform(entry.coordinator.published(version))
        entry.perform(entry.coordinator.replica("e", 8, version))

    def begin(self, entry, start, incarnation):
        """Start an attempt on the engine; its version may change meanwhile."""
        versions = [self.engine_version]
        self.reach("token")
        self.send(
            self.engine, 0.2, self.finish, entry, start, incarnation, versions
        )

    def finish(self, entry, start, incarnation, versions):
        if versions[-1] != self.engine_version:
            versions.append(self.engine_version)
        names = tuple(map(str, versions))
        digest = f"{entry.name}/{start.attempt}"
        self.true_by_digest[digest] = (start.sample, names)
        self.reach("end")
        if self.engine.drops:
            self.engine.drops -= 1
            self.send(entry, TIMEOUT_S, entry.lost, start.attempt)
            return
        result = ledgers.Result(digest, 2, names)
        body = ("whole", start.sample, digest)
        self.send(entry, DELAY_S, entry.ended, start.attempt, result, body)

    def serve(self, entry, number, incarnation, call):
        kind, argument = call
        try:
            answer = self.answer(entry, kind, argument)
        except exceptions.AnvilwellError:
            answer = None
        if kind == "collect" and answer and answer[0]:
            self.reach("send")
        if entry.drops:
            entry.drops -= 1
            return
        if incarnation == self.trainer.incarnation:
            reply = (self.trainer.receive, number, call, answer)
            self.send(self.trainer, DELAY_S, *reply)

    def answer(self, entry, kind, argument):
        if kind == "collect":
            return entry.collect(argument)
        if kind == "submit":
            step = make_step(argument)
            entry.perform(entry.coordinator.submit(step, self.now))
            return entry.ledger.has_step(argument) or None
        found = entry.coordinator.trainer_version("r", str(argument), self.now)
        entry.perform(found)
        return entry.ledger.recorded_version == str(argument) or None


def make_step(number):
    """Return a step of two samples."""
    group = identity.Group("g", f"p{number}", 2, 8)
    return identity.Step("r", number, "lm", (group,))


def find_problems(world):
    """Return the problems in the final state of `world`."""
    problems = []
    if not world.trainer.is_done:
        return ["the steps never became whole"]
    rows = world.trainer.state.rows
    wanted = sorted(
        sample for step in (1, 2) for sample in make_step(step).sample_ids()
    )
    if sorted(choice.sample for _, choice, _ in rows) != wanted:
        problems.append("not every sample exactly once")
    positions = [position for position, _, _ in rows]
    if positions != sorted(set(positions)):
        problems.append("positions are not in order")
    for _, choice, body in rows:
        truth = world.true_by_digest.get(choice.digest)
        if truth != (choice.sample, choice.versions):
            problems.append("a sample is not what the engine made")
        if body != ("whole", choice.sample, choice.digest):
            problems.append("bytes of another sample")
    if any(age > BOUND for age in world.ages):
        problems.append("a sample is too old")
    return problems
