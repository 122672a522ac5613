"""One measured run at one size, of ours or of the baseline."""

import asyncio
import contextlib
import time
import typing

from hdrh import histogram

from anvilwell_bench.configuration import baseline
from anvilwell_bench.configuration import fleet as fleets
from anvilwell_bench.configuration import meters
from anvilwell_platform.adapters import meter as call_meters
from anvilwell_standins.keyvalue import server

SERVER_THREADS = 512
SETTLE_S = 1.0
DOMAINS = 3
_MOST_US = 60_000_000
_DIGITS = 3


class Result(typing.NamedTuple):
    """Figures of one run.

    Latencies are ms from the operator's request until a daemon has the
    document in force, over all daemons and changes. ``idle`` figures
    are per second without any change; CPU is a share of one core and
    includes the stand-in, which runs in the same process.
    """

    kind: str
    daemons: int
    changes: int
    p50_ms: float
    p99_ms: float
    max_ms: float
    calls_per_change: dict
    idle_calls_per_s: dict
    waiting_watches: int
    idle_bytes_per_daemon_s: float
    change_bytes_per_daemon: float
    idle_cpu_per_daemon: float
    memory_per_daemon_bytes: float


class Recorder:
    """Notes when each daemon applied each generation."""

    def __init__(self):
        self.latencies = histogram.HdrHistogram(1, _MOST_US, _DIGITS)
        self._asked_at = {}
        self._left = {}
        self._all = asyncio.Event()

    def begin(self, generation, daemons):
        """Start the clock of `generation` for so many daemons."""
        self._asked_at[generation] = time.monotonic()
        self._left[generation] = daemons
        self._all.clear()

    def applied(self, generation):
        """Note that one more daemon has `generation` in force."""
        if generation not in self._asked_at:
            return
        spent_s = time.monotonic() - self._asked_at[generation]
        self.latencies.record_value(max(1, round(spent_s * 1e6)))
        self._left[generation] -= 1
        if not self._left[generation]:
            self._all.set()

    async def all_applied(self):
        """Wait until the last begun generation is in force at all."""
        async with asyncio.timeout(_MOST_US / 1e6):
            await self._all.wait()

    def percentile_ms(self, percentile):
        """Return a percentile of the latencies."""
        return self.latencies.get_value_at_percentile(percentile) / 1e3


class Subject(typing.NamedTuple):
    """What is measured: sizes, a way to change, and its name."""

    kind: str
    daemons: int
    change: typing.Callable


async def measure(subject, recorder, usage, memory_bytes, changes, idle_s):
    """Let `subject` idle, then change; return the `Result`."""
    await asyncio.sleep(SETTLE_S)
    idle_from = usage.read()
    await asyncio.sleep(idle_s)
    idle_to = usage.read()
    for generation in range(1, changes + 1):
        recorder.begin(generation, subject.daemons)
        await subject.change(generation)
        await recorder.all_applied()
    end = usage.read()
    idle_s = idle_to.at_s - idle_from.at_s
    busy_s = end.at_s - idle_to.at_s
    idle_bytes = idle_to.sent_bytes - idle_from.sent_bytes
    busy_bytes = end.sent_bytes - idle_to.sent_bytes
    idle_calls = meters.calls_between(idle_from, idle_to)
    busy_calls = meters.calls_between(idle_to, end)
    spent = idle_bytes * busy_s / idle_s
    return Result(
        subject.kind,
        subject.daemons,
        changes,
        recorder.percentile_ms(50),
        recorder.percentile_ms(99),
        recorder.percentile_ms(100),
        {
            kind: (count - idle_calls.get(kind, 0) * busy_s / idle_s) / changes
            for kind, count in busy_calls.items()
        },
        {kind: count / idle_s for kind, count in idle_calls.items()},
        meters.waiting(idle_to),
        idle_bytes / idle_s / subject.daemons,
        (busy_bytes - spent) / changes / subject.daemons,
        (idle_to.cpu_s - idle_from.cpu_s) / idle_s / subject.daemons,
        memory_bytes / subject.daemons,
    )


async def measure_ours(reader, daemons, changes, idle_s):
    """Return the `Result` of the configuration service."""
    calls = call_meters.CallMeter()
    recorder = Recorder()
    entries = max(2, daemons // 10)
    with server.KeyValue(threads=SERVER_THREADS) as keyvalue:
        before_bytes = meters.resident_bytes()
        async with fleets.running(
            keyvalue.address,
            entries,
            daemons - entries,
            domains=DOMAINS,
            meter=calls,
        ) as fleet:
            memory_bytes = meters.resident_bytes() - before_bytes
            for daemon in fleet.daemons_by_id.values():
                daemon.configuration.subscribe(
                    lambda _, generation: recorder.applied(generation)
                )
            proposer = next(iter(fleet.daemons_by_id.values()))

            async def change(generation):
                outcome = await proposer.configuration.propose(
                    fleets.SERVICE, fleets.text_of(generation)
                )
                if outcome.outcome != "in-force":
                    raise RuntimeError(f"change was {outcome}")

            return await measure(
                Subject("ours", daemons, change),
                recorder,
                meters.Meter(reader, calls),
                memory_bytes,
                changes,
                idle_s,
            )


async def measure_baseline(reader, daemons, changes, idle_s):
    """Return the `Result` of the naive way."""
    calls = call_meters.CallMeter()
    recorder = Recorder()
    with server.KeyValue(threads=SERVER_THREADS) as keyvalue:
        before_bytes = meters.resident_bytes()
        async with contextlib.AsyncExitStack() as stack:
            all_daemons = []
            for _ in range(daemons):
                daemon = baseline.NaiveDaemon(
                    keyvalue.address, calls, recorder.applied
                )
                await daemon.start()
                stack.push_async_callback(daemon.stop)
                all_daemons.append(daemon)
            memory_bytes = meters.resident_bytes() - before_bytes
            return await measure(
                Subject("naive", daemons, all_daemons[0].change),
                recorder,
                meters.Meter(reader, calls),
                memory_bytes,
                changes,
                idle_s,
            )
