"""The daemons of one worker process, ours or naive."""

import abc
import asyncio
import time
import typing

from anvilwell_bench.configuration import baseline
from anvilwell_bench.configuration import fleet as fleets
from anvilwell_bench.configuration import meters
from anvilwell_outside.adapters import meter as call_meters


class Spec(typing.NamedTuple):
    """One daemon to start."""

    vm_id: str
    failure_domain: str
    role: str


class Group(abc.ABC):
    """Daemons that share a process.

    Parameters
    ----------
    keyvalue_address : str
        ``host:port`` of the key-value service.
    specs : list of Spec
        The daemons.
    """

    def __init__(self, keyvalue_address, specs):
        self.address = keyvalue_address
        self.specs = specs
        self.calls = call_meters.CallMeter()
        self.applied_by_generation = {}
        self._reader = meters.make_reader()
        self._start_bytes = 0

    async def start(self):
        """Start the daemons."""
        self._start_bytes = meters.resident_bytes()
        await self._start()

    @abc.abstractmethod
    async def _start(self):
        """Start the daemons."""

    @abc.abstractmethod
    async def change(self, generation):
        """Change the document; the first daemon is asked."""

    @abc.abstractmethod
    async def stop(self):
        """Stop the daemons."""

    async def ready(self):
        """Wait until all daemons serve."""

    def members(self):
        """Return what other processes must know of these daemons."""
        return []

    def learn(self, members):
        """Take in the daemons of the other processes."""

    def memory_bytes(self):
        """Return what the daemons added to the process's memory."""
        return meters.resident_bytes() - self._start_bytes

    def base_bytes(self):
        """Return the process's memory before its first daemon."""
        return self._start_bytes

    def usage(self):
        """Return the `meters.Usage` so far."""
        return meters.Meter(self._reader, self.calls).read()

    def applied(self, generation):
        """Note that one more daemon has `generation` in force."""
        times = self.applied_by_generation.setdefault(generation, [])
        times.append(time.monotonic())

    async def all_applied(self, generation):
        """Return the times at which the daemons had `generation`."""
        while True:
            times = self.applied_by_generation.get(generation, [])
            if len(times) >= len(self.specs):
                return times
            await asyncio.sleep(fleets.POLL_S)


class OurGroup(Group):
    """Daemons with the configuration service."""

    async def _start(self):
        self._fleet = fleets.Fleet(self.address, meter=self.calls)
        for spec in self.specs:
            daemon = await self._fleet.add(*spec)
            daemon.configuration.subscribe(
                lambda _, generation: self.applied(generation)
            )

    async def ready(self):
        """Wait until all daemons have joined."""
        await self._fleet.joined()

    def members(self):
        """Return the membership records of these daemons."""
        return list(self._fleet.members_by_id.values())

    def learn(self, members):
        """Make the others known to these daemons."""
        for member in members:
            self._fleet.members_by_id[member.vm_id] = member
            for daemon in self._fleet.daemons_by_id.values():
                daemon.peers.learn(member.vm_id, member.address)

    async def change(self, generation):
        """Propose by the first daemon, an entry."""
        first = self._fleet.daemons_by_id[self.specs[0].vm_id]
        outcome = await first.configuration.propose(
            fleets.SERVICE, fleets.text_of(generation)
        )
        if outcome.outcome != "in-force":
            raise RuntimeError(f"change was {outcome}")

    async def stop(self):
        """Stop the daemons in an orderly way."""
        await self._fleet.stop()


class NaiveGroup(Group):
    """Daemons that each watch, poll and hold a lease."""

    async def _start(self):
        self._daemons = [
            baseline.NaiveDaemon(self.address, self.calls, self.applied)
            for _ in self.specs
        ]
        for daemon in self._daemons:
            await daemon.start()

    async def change(self, generation):
        """Write the key."""
        await self._daemons[0].change(generation)

    async def stop(self):
        """Stop the daemons."""
        await asyncio.gather(*(one.stop() for one in self._daemons))


KINDS = {"ours": OurGroup, "naive": NaiveGroup}
