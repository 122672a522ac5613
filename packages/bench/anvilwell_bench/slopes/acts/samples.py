"""A run's ledger and schedule, as steps and fleets grow."""

import cbor2

from anvilwell_bench.slopes import act
from anvilwell_decisions.samples import actions
from anvilwell_decisions.samples import coordinator
from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import ledger as ledgers
from anvilwell_decisions.samples import schedule

SIZES = (128, 512, 2048, 4096)
GROUP = 8
HOLDERS = ("entry-1", "entry-2")


def _step(samples, number=1):
    groups = tuple(
        identity.Group(f"g{group}", "prompt " * 8, GROUP, 1024)
        for group in range(samples // GROUP)
    )
    return identity.Step("autumn", number, "planner-lm", groups)


class _Run:
    """Carries a whole step through the decisions, without faults."""

    def __init__(self, replicas=8):
        self.chunks = []
        self.decisions = coordinator.Coordinator("entry-1", 1, bound=2)
        self._carry(self.decisions.open_run("autumn", 1.0, {}, 0.0))
        for number in range(replicas):
            self._carry(self.decisions.replica(f"agent-{number}", 16, 1))

    def step(self, samples, number=1):
        """Submit a step and carry it to the end."""
        self._carry(self.decisions.submit(_step(samples, number), 0.0))
        self._carry(self.decisions.tick(1e3 * number))

    def _carry(self, found):
        waiting = list(found)
        while waiting:
            addressed = waiting.pop()
            waiting.extend(self._answer(addressed.run, addressed.action))

    def _answer(self, run, action):
        match action:
            case schedule.Start():
                result = ledgers.Result("d" * 32, 300, ("1",))
                return self.decisions.result(action.attempt, result, 0.0)
            case actions.Replicate():
                return self._on_ledger(
                    run, "replicated", action.sample, action.digest, HOLDERS
                )
            case actions.WriteChunk():
                self.chunks.append(cbor2.dumps(action.entries))
                return self._on_ledger(run, "written", action.number)
        return []

    def _on_ledger(self, run, name, *args):
        event = getattr(ledgers.Ledger, name)
        return self.decisions.on_ledger(run, event, *args, 0.0)


class SampleCpu(act.Act):
    """CPU of the decisions on the samples of a step."""

    name = "ledger.step.cpu"
    act = "submit, schedule, choose and record the samples of a step"
    grows_with = "samples a step"
    unit = "us"
    sizes = SIZES

    def measure(self, size):
        """Return CPU microseconds for one step."""
        run = _Run()
        numbers = iter(range(1, 100))
        return act.cpu_us(lambda: run.step(size, next(numbers)), 1)


class SampleBytes(act.Act):
    """Memory that the decisions keep for the samples of a step."""

    name = "ledger.step.bytes"
    act = "memory of one step's samples, without their texts"
    grows_with = "samples a step"
    unit = "bytes"
    sizes = SIZES

    def measure(self, size):
        """Return retained bytes."""

        def build():
            run = _Run()
            run.step(size)
            run.chunks.clear()
            return run

        return act.retained_bytes(build)


class ChunkBytes(act.Act):
    """Bytes written to the key-value service for a step."""

    name = "ledger.step.written"
    act = "bytes of the chunks that record a step's choices"
    grows_with = "samples a step"
    unit = "bytes"
    sizes = SIZES

    def measure(self, size):
        """Return the bytes of all chunks."""
        run = _Run()
        run.step(size)
        return sum(map(len, run.chunks))


class ScheduleCpu(act.Act):
    """CPU of a step's decisions as the replicas grow."""

    name = "ledger.replicas.cpu"
    act = "schedule and record 1,024 samples"
    grows_with = "replicas"
    unit = "us"
    sizes = (10, 100, 1000, 5100)

    def measure(self, size):
        """Return CPU microseconds for one step of 1,024 samples."""
        run = _Run(size)
        numbers = iter(range(1, 100))
        return act.cpu_us(lambda: run.step(1024, next(numbers)), 1)
