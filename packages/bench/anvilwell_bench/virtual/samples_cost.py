"""What the decisions about one sample cost, by the number of replicas."""

import time
import tracemalloc
import typing

from anvilwell_decisions.samples import actions
from anvilwell_decisions.samples import coordinator as coordinators
from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import ledger as ledgers
from anvilwell_decisions.samples import schedule

FLEETS = (10, 100, 1000, 5100)
SLOTS = 4
RUNS = 9
SAMPLES = 2048
GROUP = 8


class Cost(typing.NamedTuple):
    """Cost of the decisions, from submit to the recorded choice."""

    replicas: int
    samples: int
    microseconds_a_sample: float
    bytes_a_sample: float
    bytes_a_replica: float


class _Carrier:
    """Carries every action out at once, with no lag."""

    def __init__(self, coordinator):
        self.coordinator = coordinator
        self.running = []

    def carry(self, addressed):
        todo = list(addressed)
        while todo:
            run, action = todo.pop()
            ledger = self.coordinator.ledgers_by_run[run]
            event, args = _answer(ledger, action)
            if event:
                found = self.coordinator.on_ledger(run, event, *args)
                todo.extend(found)
            elif isinstance(action, schedule.Start):
                self.running.append(action)

    def end_all(self):
        """End attempts until none is under way."""
        number = 0
        while self.running:
            start = self.running.pop()
            number += 1
            result = ledgers.Result(str(number), 100 + number % 77, ("1",))
            found = self.coordinator.result(start.attempt, result, 0.0)
            self.carry(found)
            if not self.running or number % 512 == 0:
                self.carry(self.coordinator.tick(number * 1.0))
        self.carry(self.coordinator.tick(1e9))


def measure(replicas):
    """Return the `Cost` with `replicas` replicas, and nine runs."""
    time_us, _, _ = _run(replicas)
    tracemalloc.start()
    try:
        _, bytes_replicas, bytes_samples = _run(replicas)
    finally:
        tracemalloc.stop()
    samples = RUNS * SAMPLES
    return Cost(
        replicas,
        samples,
        time_us / samples,
        bytes_samples / samples,
        bytes_replicas / replicas,
    )


def _run(replicas):
    coordinator = coordinators.Coordinator("a", 1, bound=2)
    carrier = _Carrier(coordinator)
    before = _traced()
    for number in range(replicas):
        coordinator.replica(f"e{number}", SLOTS, 1)
    bytes_replicas = _traced() - before
    steps = [_step(number) for number in range(RUNS)]
    before = _traced()
    begun = time.perf_counter()
    for step in steps:
        carrier.carry(coordinator.open_run(step.run, 1.0, {}, 0.0))
        carrier.carry(coordinator.submit(step, 0.0))
    carrier.end_all()
    elapsed_us = (time.perf_counter() - begun) * 1e6
    ledgers_by_run = coordinator.ledgers_by_run
    if any(led.delivery.missing for led in ledgers_by_run.values()):
        raise RuntimeError("some samples were never recorded")
    return elapsed_us, bytes_replicas, _traced() - before


def _traced():
    return tracemalloc.get_traced_memory()[0]


def _step(number):
    groups = tuple(
        identity.Group(f"g{index}", f"p{index}", GROUP, 4096)
        for index in range(SAMPLES // GROUP)
    )
    return identity.Step(f"run{number}", 1, "lm", groups)


def _answer(ledger, action):
    match action:
        case actions.WriteChunk():
            return ledger.written, (action.number, 0.0)
        case actions.Replicate():
            args = (action.sample, action.digest, ("a", "b"), 0.0)
            return ledger.replicated, args
    return None, ()
