"""Links to a bounded part of the fleet, by membership."""

import asyncio
import contextlib

import pytest

from anvilwell_daemon.agent.backends import model
from anvilwell_daemon.agent import service as agents
from anvilwell_daemon.entry import replicas
from anvilwell_daemon.peers import listener
from anvilwell_decisions.requests import admission
from anvilwell_decisions.requests import facts
from anvilwell_kernel import clock as clocks
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import links
from anvilwell_kernel.messages import membership
from anvilwell_kernel import services

TIMEOUT_S = 20
COUNT = 6
SIZE = 2


class Members(services.Service):
    """A membership that a test changes."""

    name = "membership"

    def __init__(self):
        self.members_by_id = {}
        self._callbacks = []

    def subscribe(self, callback):
        self._callbacks.append(callback)

    def tell(self, member):
        before = self.members_by_id.get(member.vm_id)
        self.members_by_id[member.vm_id] = member
        for callback in self._callbacks:
            callback(before, member)


class Clock(clocks.SystemClock):
    """A clock that a test sets forward."""

    def __init__(self):
        self.ahead_s = 0.0

    def monotonic(self):
        return super().monotonic() + self.ahead_s


class Fleet:
    """Agents on real sockets and the links of one entry."""

    def __init__(self, new_engine):
        self.members = Members()
        self.clock = Clock()
        self.replicas = replicas.Replicas(
            links.Hello("entry-1", "entry", "", "a", 1),
            clock=self.clock,
            max_links=SIZE,
        )
        self._new_engine = new_engine
        self._kernels = []

    async def start(self):
        for number in range(COUNT):
            await self._start_agent(f"agent-{number}", "ab"[number % 2])
        entry = services.Kernel([self.members, self.replicas])
        await entry.start()
        self._kernels.insert(0, entry)

    async def stop(self):
        for kernel in self._kernels:
            await kernel.stop()

    async def until_linked(self, count):
        """Wait for `count` links that take requests, and no others."""
        async with asyncio.timeout(TIMEOUT_S):
            while not len(self.linked) == count == self.dialled:
                await asyncio.sleep(0.005)

    @property
    def linked(self):
        return {c.replica_id for c in self.replicas.candidates("lm")}

    @property
    def dialled(self):
        return len(self.replicas.addresses)

    def tell(self, vm_id, **changes):
        self.members.tell(
            self.members.members_by_id[vm_id]._replace(**changes)
        )

    async def _start_agent(self, vm_id, domain):
        door = listener.Listener("127.0.0.1", 0)
        agent = agents.Agent(
            links.Hello(vm_id, "agent", "lm", domain, 1),
            model.ModelBackend(self._new_engine()),
            admission.Admission(),
            self.clock,
        )
        kernel = services.Kernel([door, agent])
        await kernel.start()
        self._kernels.append(kernel)
        state = membership.State.LIVE
        self.members.tell(
            membership.Member(
                vm_id, door.address, domain, "agent", "lm", state, 1
            )
        )


def _run(scenario, new_engine):
    async def run():
        fleet = Fleet(new_engine)
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(fleet.stop)
            await fleet.start()
            await scenario(fleet)

    asyncio.run(run())


def test_an_entry_links_to_its_subset_and_a_holder_to_all(scripted_engine):
    async def scenario(fleet):
        await fleet.until_linked(SIZE)
        before = fleet.linked
        fleet.replicas.want_all("lm")
        await fleet.until_linked(COUNT)
        fleet.replicas.release("lm")
        await fleet.until_linked(SIZE)
        assert fleet.linked == before

    _run(scenario, scripted_engine)


@pytest.mark.parametrize("state", ["LEAVING", "DEAD"])
def test_another_replica_comes_for_one_that_goes(scripted_engine, state):
    async def scenario(fleet):
        await fleet.until_linked(SIZE)
        before = fleet.linked
        gone = min(before)
        fleet.tell(gone, state=membership.State[state])
        await fleet.until_linked(SIZE)
        async with asyncio.timeout(TIMEOUT_S):
            while gone in fleet.linked or len(fleet.linked) < SIZE:
                await asyncio.sleep(0.005)
        assert before - {gone} < fleet.linked

    _run(scenario, scripted_engine)


def test_an_empty_subset_is_widened(scripted_engine):
    async def scenario(fleet):
        await fleet.until_linked(SIZE)
        for address in fleet.replicas.addresses:
            fleet.replicas.leave(address)
        request = facts.RequestFacts("r", "lm", facts.Priority.LIVE)
        with pytest.raises(exceptions.Refused):
            fleet.replicas.choose(request)
        await asyncio.sleep(0)
        assert fleet.dialled == SIZE
        fleet.clock.ahead_s = replicas.EMPTY_S
        with pytest.raises(exceptions.Refused):
            fleet.replicas.choose(request)
        async with asyncio.timeout(TIMEOUT_S):
            while fleet.dialled <= SIZE or not fleet.linked:
                await asyncio.sleep(0.005)

    _run(scenario, scripted_engine)


def test_a_replica_that_can_take_requests_stops_widening(scripted_engine):
    async def scenario(fleet):
        await fleet.until_linked(SIZE)
        fleet.clock.ahead_s = replicas.EMPTY_S
        request = facts.RequestFacts(
            "r", "lm", facts.Priority.LIVE, version="none has it"
        )
        with pytest.raises(exceptions.Refused):
            fleet.replicas.choose(request)
        fleet.clock.ahead_s *= 3
        with pytest.raises(exceptions.Refused):
            fleet.replicas.choose(request)
        await asyncio.sleep(0)
        assert fleet.dialled == SIZE

    _run(scenario, scripted_engine)
