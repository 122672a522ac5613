"""Measures the samples of one deployment in virtual time."""

import statistics
import typing

from anvilwell_bench.virtual import driver as drivers
from anvilwell_bench.virtual import samples_trainers
from anvilwell_bench.virtual import samples_world
from anvilwell_decisions.samples import schedule

LIMIT_S = 100_000.0
SLICE_S = 50.0
FAULTS_UNTIL_S = 6_000.0
ENGINE_CRASH_EVERY_S = 900.0
ENGINE_STUCK_EVERY_S = 900.0
STUCK_S = 20.0
ENTRY_CRASH_EVERY_S = 2_400.0
OUTAGE_EVERY_S = 1_200.0
OUTAGE_S = 15.0

PLAIN = samples_world.Options(
    policy=schedule.Policy(
        longest_first=False,
        scouts=False,
        affinity=False,
        cancel_doomed=False,
        early_share=0.0,
        hedge=False,
    ),
    plain=True,
)


class Training(typing.NamedTuple):
    """Trainers that train: idle is a share of their time."""

    idle: float
    makespan_p50_s: float
    makespan_p99_s: float
    staleness_mean: float
    staleness_max: int
    discarded: float
    breaches: int


class Rounds(typing.NamedTuple):
    """Steps submitted together, as ratios to the lower bound."""

    ratio_p50: float
    ratio_p99: float
    makespan_p50_s: float
    makespan_p99_s: float
    breaches: int


def draw_faults(deployment, seed):
    """Return faults at random times, in all parts, seeded."""
    rng = drivers.Driver(seed).rng("faults")
    engines = [f"e{n}" for n in range(deployment.replicas)]
    rates = (
        ("crash", engines, ENGINE_CRASH_EVERY_S, 1.0),
        ("stuck", engines, ENGINE_STUCK_EVERY_S, STUCK_S),
        ("crash", ["entry"], ENTRY_CRASH_EVERY_S, 1.0),
        ("outage", ["keyvalue"], OUTAGE_EVERY_S, OUTAGE_S),
    )
    faults = []
    for kind, targets, every_s, length_s in rates:
        at = rng.expovariate(1 / every_s)
        while at < FAULTS_UNTIL_S:
            target = rng.choice(targets)
            faults.append(drivers.Fault(kind, target, at, at + length_s))
            at += rng.expovariate(1 / every_s)
    return sorted(faults, key=lambda fault: fault.start_s)


def train(deployment, options, seed, *, steps, faults=()):
    """Return the `Training` of `steps` steps in each run."""
    world = samples_world.World(deployment, options, seed, faults)
    ahead = 0 if options.plain else 1
    trainers = _trainers(world, steps, ahead=ahead, train_s=deployment.train_s)
    _run(world, trainers)
    idle = sum(trainer.idle_s for trainer in trainers)
    busy = sum(trainer.busy_s for trainer in trainers)
    waits = [m for trainer in trainers for m in trainer.makespans]
    tally = world.tally
    discarded = sum(tally.dropped.values()) / sum(tally.useful)
    return Training(
        idle / (idle + busy),
        statistics.median(waits),
        _p99(waits),
        statistics.mean(tally.staleness),
        max(tally.staleness),
        discarded,
        sum(trainer.breaches for trainer in trainers),
    )


def rounds(deployment, options, seed, *, steps, faults=()):
    """Return the `Rounds` of all runs asking at once, `steps` times."""
    world = samples_world.World(deployment, options, seed, faults)
    barrier = _Barrier(world, deployment.runs)
    trainers = _trainers(
        world, steps, ahead=0, train_s=0.0, on_step=barrier.arrive
    )
    _run(world, trainers)
    return Rounds(
        statistics.median(barrier.ratios),
        _p99(barrier.ratios),
        statistics.median(barrier.makespans),
        _p99(barrier.makespans),
        sum(trainer.breaches for trainer in trainers),
    )


class _Barrier:
    """Lets all runs go on together, and keeps each round's makespan."""

    def __init__(self, world, runs):
        self.ratios = []
        self.makespans = []
        self._world = world
        self._runs = runs
        self._began = 0.0
        self._waiting = []

    def arrive(self, trainer, step, go_on):
        """Note that `trainer` has its step whole."""
        self._waiting.append(go_on)
        if len(self._waiting) < self._runs:
            return
        steps = [
            self._world.workload.step(f"run{run}", step)
            for run in range(self._runs)
        ]
        makespan = self._world.now - self._began
        self.makespans.append(makespan)
        bound = self._world.workload.lower_bound_s(steps)
        self.ratios.append(makespan / bound)
        self._began = self._world.now
        waiting, self._waiting = self._waiting, []
        for go_on in waiting:
            self._world.driver.after(0.0, go_on)


def _trainers(world, steps, **arguments):
    trainers_by_run = {
        run: samples_trainers.Trainer(world, run, steps, **arguments)
        for run in world.logs_by_run
    }
    world.on_deliverable = lambda run: trainers_by_run[run].look()
    return list(trainers_by_run.values())


def _run(world, trainers):
    world.driver.after(0.01, lambda: [t.start() for t in trainers])
    until = 0.0
    while not all(t.done_at is not None for t in trainers):
        until += SLICE_S
        if until > LIMIT_S:
            raise RuntimeError("a step never became whole")
        world.driver.run(until)


def _p99(values):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
