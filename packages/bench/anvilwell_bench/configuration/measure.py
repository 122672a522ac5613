"""One measured run at one size, of ours or of the baseline."""

import asyncio
import itertools
import time
import typing

from hdrh import histogram

from anvilwell_bench.configuration import groups
from anvilwell_bench.configuration import meters
from anvilwell_bench.configuration import workers
from anvilwell_standins.keyvalue import server

SERVER_THREADS = 512
# Longer than a watch outlives its holder's turn.
SETTLE_S = 25.0
QUICK_SETTLE_S = 1.0
DOMAINS = 3
WORKERS = 6
_MOST_US = 60_000_000
_DIGITS = 3
_ENTRY_SHARE = 10


class Result(typing.NamedTuple):
    """Figures of one run.

    Latencies are ms from the operator's request until a daemon has the
    document in force, over all daemons and changes. ``idle`` figures
    are per second without any change; CPU is a share of one core. The
    key-value stand-in runs in a process of its own and is not counted.
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
    change_cpu_per_daemon_s: float
    memory_per_daemon_bytes: float


class Plan(typing.NamedTuple):
    """What to measure."""

    kind: str
    daemons: int
    changes: int
    idle_s: float
    settle_s: float = SETTLE_S


class Crew:
    """The workers of one run, driven together."""

    def __init__(self, plan, keyvalue_address):
        specs = _specs(plan.daemons)
        count = min(WORKERS, plan.daemons)
        self.daemons = plan.daemons
        group = groups.KINDS[plan.kind]
        self._workers = [
            workers.Worker(group, keyvalue_address, specs[one::count])
            for one in range(count)
        ]

    async def start(self):
        """Start all daemons and make them known to each other."""
        await self.all("start")
        members = itertools.chain.from_iterable(await self.all("members"))
        await self.all("learn", list(members))
        await self.all("ready")

    async def all(self, method, *arguments):
        """Return the results of `method` of all workers."""
        return await asyncio.gather(
            *(one.call(method, *arguments) for one in self._workers)
        )

    async def change(self, generation):
        """Change the document; return each daemon's latency, s."""
        asked_at = time.monotonic()
        await self._workers[0].call("change", generation)
        times = await self.all("all_applied", generation)
        return [one - asked_at for one in itertools.chain(*times)]

    async def usage(self):
        """Return the workers' usage as one."""
        return meters.add(await self.all("usage"))

    async def memory_bytes(self):
        """Return what the daemons added to the workers' memory."""
        return sum(await self.all("memory_bytes"))

    async def stop(self):
        """Stop all workers."""
        await asyncio.gather(*(one.stop() for one in self._workers))


async def measure(plan):
    """Carry out `plan` and return its `Result`."""
    with server.KeyValue(threads=SERVER_THREADS) as keyvalue:
        crew = Crew(plan, keyvalue.address)
        try:
            await crew.start()
            return await _measure(plan, crew)
        finally:
            await crew.stop()


async def _measure(plan, crew):
    await asyncio.sleep(plan.settle_s)
    memory_bytes = await crew.memory_bytes()
    idle_from = await crew.usage()
    await asyncio.sleep(plan.idle_s)
    idle_to = await crew.usage()
    latencies = histogram.HdrHistogram(1, _MOST_US, _DIGITS)
    for generation in range(1, plan.changes + 1):
        for spent_s in await crew.change(generation):
            latencies.record_value(max(1, round(spent_s * 1e6)))
    idle = meters.Rates(idle_from, idle_to)
    cost = meters.Cost(idle, idle_to, await crew.usage(), plan.changes)
    return Result(
        plan.kind,
        plan.daemons,
        plan.changes,
        *(
            latencies.get_value_at_percentile(one) / 1e3
            for one in (50, 99, 100)
        ),
        cost.calls(),
        idle.calls(),
        meters.waiting(idle_to),
        idle.sent_bytes() / plan.daemons,
        cost.sent_bytes() / plan.daemons,
        idle.cpu() / plan.daemons,
        cost.cpu_s() / plan.daemons,
        memory_bytes / plan.daemons,
    )


def _specs(daemons):
    """Return the daemons to start, entries first."""
    entries = max(2, daemons // _ENTRY_SHARE)
    return [
        groups.Spec(
            f"vm-{number:03d}",
            f"domain-{number % DOMAINS}",
            "entry" if number < entries else "agent",
        )
        for number in range(daemons)
    ]
