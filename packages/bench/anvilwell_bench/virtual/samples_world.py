"""A service's coordinator with fakes of engines, trainers and platform."""

import collections
import typing

from anvilwell_bench.virtual import driver as drivers
from anvilwell_bench.virtual import engine as engines
from anvilwell_bench.virtual import samples_workload
from anvilwell_decisions.samples import coordinator as coordinators
from anvilwell_decisions.samples import ledger as ledgers
from anvilwell_decisions.samples import replicas
from anvilwell_decisions.samples import schedule

KEY_VALUE_LAG = drivers.Lag(0.002, 0.006)
PEER_LAG = drivers.Lag(0.0005, 0.002)
END_LAG = drivers.Lag(0.001, 0.005)
TICK_S = 0.25
RESTART_S = 60.0
TAKEOVER_S = 6.0
RETRY_S = 1.0
PROGRESS_S = 2.0


class Options(typing.NamedTuple):
    """How the service is run.

    ``plain`` is the baseline: round robin, arrival order, engines queue.
    ``swap`` is ``resume`` (pause, streams go on), ``staggered`` (the
    same, one engine after another) or ``drain`` (one after another,
    each once its streams have ended).
    """

    policy: schedule.Policy = schedule.Policy()
    plain: bool = False
    swap: str = "staggered"


class RoundRobin(replicas.Replicas):
    """The baseline's placement: each replica in turn."""

    def __init__(self):
        super().__init__()
        self._turn = 0

    def choose(self, preferred=None):
        """Return the next replica, whatever its load."""
        self._turn += 1
        names = sorted(name for _, name in self._free)
        return names[self._turn % len(names)]


class Tally(typing.NamedTuple):
    """What a world counts."""

    staleness: list
    dropped: collections.Counter
    generated: list
    useful: list


class World:
    """Carries out a coordinator's actions in virtual time.

    Parameters
    ----------
    deployment : samples_workload.Deployment
        Sizes.
    options : Options
        How the service is run.
    seed : int
        Seed of all random streams.
    faults : iterable of driver.Fault
        Kinds ``crash`` and ``stuck`` of an engine, ``crash`` of
        ``entry``, ``outage`` of ``keyvalue``.
    """

    def __init__(self, deployment, options, seed, faults=()):
        self.deployment = deployment
        self.driver = drivers.Driver(seed, faults)
        self.workload = samples_workload.Workload(deployment, self.driver)
        self.tally = Tally([], collections.Counter(), [], [])
        self.latest = 1
        self.on_deliverable = lambda run: None
        self.logs_by_run = {}
        self._options = options
        self._works = {}
        self._lives = 0
        self._swapping = []
        self._history_by_engine = {}
        self._down = set()
        self.engines_by_id = {}
        for number in range(deployment.replicas):
            self._add_engine(f"e{number}")
        self.coordinator = None
        self._open()
        self.driver.every(TICK_S, self._tick)
        self.driver.every(PROGRESS_S, self._report_progress)
        self.driver.every(deployment.weights_every_s, self._publish)
        for fault in faults:
            self.driver.after(fault.start_s, self._inject, fault)

    @property
    def now(self):
        """Virtual time in seconds."""
        return self.driver.now

    def is_held(self, run):
        """Return whether an entry holds the ledger of `run`."""
        if self.coordinator is None:
            return False
        return self.coordinator.ledgers_by_run[run].active

    def submit(self, step):
        """Submit as a trainer that tries until it is accepted."""
        if not self.is_held(step.run):
            self.driver.after(RETRY_S, self.submit, step)
            return
        self.carry(self.coordinator.submit(step, self.now))

    def set_version(self, run, version):
        """Tell the trainer's version."""
        if not self.is_held(run):
            self.driver.after(RETRY_S, self.set_version, run, version)
            return
        found = self.coordinator.trainer_version(run, str(version), self.now)
        self.carry(found)

    def collect(self, run, cursor):
        """Collect all there is; None if nobody holds the ledger."""
        if not self.is_held(run):
            return None
        batch = self.coordinator.collect(
            run, cursor, 1 << 20, self.now, waiting=True
        )
        self.carry(batch.actions)
        return batch

    def carry(self, addressed):
        """Carry out addressed actions."""
        for run, action in addressed:
            handler = getattr(self, f"_on_{type(action).__name__}", None)
            if handler:
                handler(run, action)

    def _open(self):
        self._lives += 1
        deployment = self.deployment
        self.coordinator = coordinators.Coordinator(
            f"entry{self._lives}",
            self._lives,
            bound=deployment.bound,
            policy=self._options.policy,
        )
        if self._options.plain:
            self.coordinator.schedule.replicas = RoundRobin()
        for engine_id in self.engines_by_id:
            if engine_id not in self._down:
                self._tell_replica(engine_id)
        for number in range(deployment.runs):
            run = f"run{number}"
            log = self.logs_by_run.setdefault(run, {})
            self.carry(
                self.coordinator.open_run(run, 1.0, dict(log), self.now)
            )
        self.carry(self.coordinator.published(self.latest))

    def _add_engine(self, engine_id):
        model = self.deployment.engine
        if engine_id in self.deployment.slow_engines:
            model = self.deployment.slow_model()
        engine = engines.FakeEngine(self.driver, engine_id, model)
        self.engines_by_id[engine_id] = engine
        self._history_by_engine[engine_id] = [(0.0, self.latest)]

    def _tell_replica(self, engine_id):
        slots = self.deployment.engine.max_batch
        if self._options.plain:
            slots = 1 << 30
        version = self._history_by_engine[engine_id][-1][1]
        self.carry(self.coordinator.replica(engine_id, slots, version))

    def _tick(self):
        if self.coordinator is not None:
            self.carry(self.coordinator.tick(self.now))

    def _report_progress(self):
        if self.coordinator is None or self._options.plain:
            return
        tokens_by_attempt = {
            attempt: self.engines_by_id[engine_id].progress(work_id) or 0
            for work_id, (engine_id, attempt, _) in self._works.items()
        }
        self.carry(self.coordinator.progress(tokens_by_attempt, self.now))

    def _on_WriteChunk(self, run, action):
        self.driver.send(
            "keyvalue", KEY_VALUE_LAG, self._write, self._lives, run, action
        )

    def _write(self, life, run, chunk):
        mine = life == self._lives and self.coordinator is not None
        if self.driver.is_faulty("outage", "keyvalue"):
            if mine:
                self.coordinator.ledgers_by_run[run].write_unknown(self.now)
            return
        there = self.logs_by_run[run].setdefault(chunk.number, chunk.entries)
        if not mine:
            return
        ledger = self.coordinator.ledgers_by_run[run]
        event, args = ledger.written, (chunk.number, self.now)
        if there is not chunk.entries:
            event = ledger.write_conflict
            args = (chunk.number, there, self.now)
        self.carry(self.coordinator.on_ledger(run, event, *args))

    def _on_Replicate(self, run, action):
        self.driver.send(
            "peers", PEER_LAG, self._copied, self._lives, run, action
        )

    def _copied(self, life, run, action):
        if life != self._lives or self.coordinator is None:
            return
        ledger = self.coordinator.ledgers_by_run[run]
        args = (action.sample, action.digest, ("a", "b"), self.now)
        self.carry(self.coordinator.on_ledger(run, ledger.replicated, *args))

    def _on_Fetch(self, run, action):
        ledger = self.coordinator.ledgers_by_run[run]
        event = ledger.bytes_found
        self.carry(self.coordinator.on_ledger(run, event, action.position))

    def _on_Deliverable(self, run, action):
        self.on_deliverable(run)

    def _on_Dropped(self, run, action):
        self.tally.dropped[action.reason] += action.tokens

    def _on_Start(self, run, start):
        engine = self.engines_by_id[start.replica]
        group = self.coordinator.group(start.sample)
        tokens = self.workload.tokens(start.sample, group)
        work_id = f"{self._lives}/{start.attempt}"
        self._works[work_id] = (start.replica, start.attempt, self.now)
        engine.start(
            engines.Work(
                work_id,
                tokens,
                self._ended,
                group.prompt,
                self.deployment.prompt_tokens,
            )
        )

    def _on_Cancel(self, run, cancel):
        work_id = f"{self._lives}/{cancel.attempt}"
        self._works.pop(work_id, None)
        made = self.engines_by_id[cancel.replica].cancel(work_id)
        self.tally.dropped[cancel.reason] += made or 0

    def _ended(self, work_id, tokens, whole):
        life = int(work_id.split("/")[0])
        self.driver.send(
            "ends", END_LAG, self._deliver_end, life, work_id, tokens, whole
        )

    def _deliver_end(self, life, work_id, tokens, whole):
        work = self._works.pop(work_id, None)
        if work is None or life != self._lives or self.coordinator is None:
            self.tally.dropped["lost"] += tokens or 0
            return
        engine_id, attempt, started = work
        if not whole:
            self.tally.dropped["crash"] += tokens or 0
            self.carry(self.coordinator.failed(attempt, self.now))
            return
        names = self._versions_since(engine_id, started)
        digest = f"{work_id}"
        result = ledgers.Result(digest, tokens, names)
        self.carry(self.coordinator.result(attempt, result, self.now))

    def _versions_since(self, engine_id, started):
        history = self._history_by_engine[engine_id]
        before = [v for at, v in history if at <= started][-1:]
        after = [v for at, v in history if at > started]
        return tuple(map(str, before + after))

    def _publish(self):
        self.latest += 1
        if self.coordinator is not None:
            self.carry(self.coordinator.published(self.latest))
        begin = not self._swapping
        self._swapping = sorted(self.engines_by_id)
        if self._options.plain or self._options.swap == "resume":
            for engine_id in self._swapping:
                self._swap(engine_id)
            self._swapping = []
        elif begin:
            self._swap_next()

    def _swap_next(self):
        if not self._swapping:
            return
        engine_id = self._swapping[0]
        if self._options.swap == "drain" and engine_id not in self._down:
            self._hold(engine_id)
            engine = self.engines_by_id[engine_id]
            if engine.running or engine.waiting:
                self.driver.after(TICK_S, self._swap_next)
                return
        self._swapping.pop(0)
        self._swap(engine_id)
        self.driver.after(self.deployment.swap_s, self._swap_next)

    def _hold(self, engine_id):
        if self.coordinator is not None:
            version = self._history_by_engine[engine_id][-1][1]
            self.carry(self.coordinator.replica(engine_id, 0, version))

    def _swap(self, engine_id):
        if engine_id in self._down:
            return
        self.engines_by_id[engine_id].pause(self.deployment.swap_s)
        self.driver.after(
            self.deployment.swap_s, self._swapped, engine_id, self.latest
        )

    def _swapped(self, engine_id, version):
        self._history_by_engine[engine_id].append((self.now, version))
        if self.coordinator is not None and engine_id not in self._down:
            self._tell_replica(engine_id)

    def _inject(self, fault):
        if fault.kind == "crash" and fault.target == "entry":
            self.coordinator = None
            for engine in self.engines_by_id.values():
                for work_id in list(self._works):
                    self.tally.dropped["lost"] += engine.cancel(work_id) or 0
            self._works.clear()
            self.driver.after(TAKEOVER_S, self._open)
        elif fault.kind == "crash":
            self._crash(fault.target)
        elif fault.kind == "stuck":
            engine = self.engines_by_id[fault.target]
            engine.pause(fault.end_s - fault.start_s)

    def _crash(self, engine_id):
        self._down.add(engine_id)
        if self.coordinator is not None:
            engine = self.engines_by_id[engine_id]
            engine.crash()
            self.carry(self.coordinator.replica_lost(engine_id, self.now))
        else:
            self.engines_by_id[engine_id].crash()
        self.driver.after(RESTART_S, self._restart, engine_id)

    def _restart(self, engine_id):
        self._down.discard(engine_id)
        self._history_by_engine[engine_id].append((self.now, self.latest))
        if self.coordinator is not None:
            self._tell_replica(engine_id)
