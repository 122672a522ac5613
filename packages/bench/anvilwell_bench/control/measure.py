"""One measured run at one size, of ours or of the baseline."""

import asyncio
import itertools
import statistics
import typing

from anvilwell_bench.configuration import groups as naive
from anvilwell_bench.configuration import meters
from anvilwell_bench.configuration import workers
from anvilwell_bench.control import groups
from anvilwell_kernel.messages import membership as messages
from anvilwell_standins.keyvalue import server

SERVER_THREADS = 512
WORKERS = 5
DOMAINS = 3
ENTRY_SHARE = 10
DETECTIONS = 3


class Plan(typing.NamedTuple):
    """What to measure; seconds."""

    daemons: int
    settle_s: float
    idle_s: float


class Result(typing.NamedTuple):
    """Figures of one run, idle figures a second and a daemon.

    ``base_bytes`` is a process's memory before its first daemon.
    Bytes are those of the frames; CPU is a share of one core. Detection
    runs from the crash or the announcement until the last daemon knew,
    the median of three.
    """

    kind: str
    daemons: int
    bytes_per_s: float
    messages_per_s: float
    cpu: float
    memory_bytes: float
    base_bytes: float
    calls_per_s_by_kind: dict
    waiting_watches: int
    leaving_s: float
    dead_s: float


class Crew:
    """The workers of one run, driven together."""

    def __init__(self, group, daemons, keyvalue_address):
        self.daemons = daemons
        self.specs = _specs(daemons)
        count = min(WORKERS, daemons)
        self._workers = [
            workers.Worker(group, keyvalue_address, self.specs[one::count])
            for one in range(count)
        ]

    @property
    def first(self):
        """The worker with the first entry."""
        return self._workers[0]

    def holder(self, vm_id):
        """Return the worker that runs `vm_id`."""
        number = [spec.vm_id for spec in self.specs].index(vm_id)
        return self._workers[number % len(self._workers)]

    async def all(self, method, *arguments):
        """Return the results of `method` of all workers."""
        return await asyncio.gather(
            *(one.call(method, *arguments) for one in self._workers)
        )

    async def join(self):
        """Start all daemons; the first one's worker is the seed."""
        await self.all("start")
        seed = await self.first.call("add", ())
        await asyncio.gather(
            *(one.call("add", (seed,)) for one in self._workers[1:])
        )
        await self.all("knows", self.daemons)

    async def usage(self):
        """Return the workers' usage as one."""
        return meters.add(await self.all("usage"))

    async def stop(self):
        """Stop all workers."""
        await asyncio.gather(*(one.stop() for one in self._workers))


async def measure_ours(plan):
    """Return the `Result` of our daemons."""
    with server.KeyValue(threads=SERVER_THREADS) as keyvalue:
        crew = Crew(groups.ControlGroup, plan.daemons, keyvalue.address)
        try:
            await crew.join()
            await crew.first.call("stand")
            await crew.first.call("held")
            idle = await _idle("ours", plan, crew)
            leaving, dead = messages.State.LEAVING, messages.State.DEAD
            return idle._replace(
                leaving_s=await _median(crew, "leave", leaving),
                dead_s=await _median(crew, "crash", dead),
            )
        finally:
            await crew.stop()


async def measure_naive(plan):
    """Return the `Result` of daemons that watch, poll and hold leases."""
    with server.KeyValue(threads=SERVER_THREADS) as keyvalue:
        crew = Crew(naive.NaiveGroup, plan.daemons, keyvalue.address)
        try:
            await crew.all("start")
            return await _idle("naive", plan, crew)
        finally:
            await crew.stop()


async def _idle(kind, plan, crew):
    await asyncio.sleep(plan.settle_s)
    memory_bytes = sum(await crew.all("memory_bytes"))
    sent_before = await _messages(kind, crew)
    before = await crew.usage()
    await asyncio.sleep(plan.idle_s)
    after = await crew.usage()
    sent = await _messages(kind, crew) - sent_before
    rates = meters.Rates(before, after)
    return Result(
        kind,
        plan.daemons,
        rates.sent_bytes() / plan.daemons,
        sent / rates.spent_s / plan.daemons,
        rates.cpu() / plan.daemons,
        memory_bytes / plan.daemons,
        max(await crew.all("base_bytes")),
        rates.calls(),
        meters.waiting(after),
        float("nan"),
        float("nan"),
    )


async def _messages(kind, crew):
    return sum(await crew.all("messages")) if kind == "ours" else 0


async def _median(crew, event, state):
    """Return the median over the last few daemons, each in turn."""
    count = min(DETECTIONS, crew.daemons // 2)
    ids = [spec.vm_id for spec in crew.specs[-count:]]
    spent_s = [await _detect(crew, event, state, vm_id) for vm_id in ids]
    return statistics.median(spent_s)


async def _detect(crew, event, state, vm_id):
    """Return how long until the last daemon saw the `event`."""
    await crew.all("observe", vm_id)
    began_s = await crew.holder(vm_id).call(event, vm_id)
    times = await crew.all("all_saw", int(state), vm_id)
    return max(itertools.chain(*times)) - began_s


def _specs(daemons):
    entries = max(2, daemons // ENTRY_SHARE)
    return [
        naive.Spec(
            f"vm-{number:03d}",
            f"domain-{number % DOMAINS}",
            "entry" if number < entries else "agent",
        )
        for number in range(daemons)
    ]
