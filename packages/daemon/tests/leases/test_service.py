"""Leadership through pauses, store outages and lost responses.

The service runs against the key-value stand-in and a manual clock.
"""

import asyncio
import contextlib
import random

import pytest

from anvilwell_daemon.keyvalue import facade
from anvilwell_daemon.leases import service
from anvilwell_daemon.peers import listener
from anvilwell_daemon.peers import service as peers_service
from anvilwell_daemon.rollout import engine_orders
from anvilwell_kernel import clock as clocks
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import orders as messages
from anvilwell_kernel import reasons
from anvilwell_kernel import services
from anvilwell_outside.adapters import etcd
from anvilwell_outside.adapters import http_client
from anvilwell_outside.adapters import sse_engine
from anvilwell_standins.base import faults
from anvilwell_standins.engine import server as engines
from anvilwell_standins.engine import weights
from anvilwell_standins.keyvalue import server

TTL_S = 2.0
WAIT_S = 20.0
NAME = engine_orders.leadership_name("lm")


class Gate:
    """Forwards calls to the store; fails them while it is shut."""

    def __init__(self, store):
        self.is_shut = False
        self._store = store

    def __getattr__(self, name):
        if self.is_shut:
            raise exceptions.KeyValueUnavailable("the store is unreachable")
        return getattr(self._store, name)


class World:
    """A store stand-in, its clock and the daemons that call it."""

    def __init__(self, stack):
        self.clock = clocks.ManualClock()
        self.stack = stack
        self.standin = stack.enter_context(server.KeyValue(clock=self.clock))

    async def candidate(self, vm_id):
        gate = Gate(self.store())
        keyvalue = facade.KeyValueFacade(gate, timeout_s=WAIT_S)
        leases = service.Leases(
            vm_id, ttl_s=TTL_S, clock=self.clock, rng=random.Random(0)
        )
        kernel = services.Kernel([keyvalue, leases])
        await self.start(kernel)
        return leases, gate

    async def agent(self, engine):
        """Start an agent; return its order service and its store gate."""
        leases, gate = await self.candidate("agent")
        peer_listener = listener.Listener("127.0.0.1", 0)
        peers = peers_service.Peers("agent", peer_listener)
        orders = engine_orders.EngineOrders(
            "agent", "lm", engine, clock=self.clock, confirm_timeout_s=0.0
        )
        kernel = services.Kernel(
            [peer_listener, peers, Started(leases), orders]
        )
        await self.start(kernel)
        return orders, gate

    async def start(self, kernel):
        await kernel.start()
        self.stack.push_async_callback(kernel.stop)

    def store(self):
        store = etcd.Etcd(http_client.HttpClient(self.standin.address))
        self.stack.callback(store.close)
        return store

    def engine(self, checks_fencing):
        held = weights.Weights("m", "1", check_fencing=checks_fencing)
        standin = self.stack.enter_context(engines.Engine(held))
        adapter = sse_engine.SseEngine(http_client.HttpClient(standin.address))
        return adapter, held


class Started(services.Service):
    """Offers a service of another kernel that is already running."""

    name = "leases"

    def __init__(self, leases):
        self.highest = leases.highest


def run(work):
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            async with asyncio.timeout(WAIT_S):
                await work(World(stack))

    asyncio.run(main())


def order(kind, version, number, fencing):
    return messages.Order("lm", kind, version, 1, fencing, number)


async def carry_out(agent, sent):
    done = asyncio.Event()
    agent.subscribe(done.set)
    answer = await agent.take("leader", sent)
    await done.wait()
    return answer


def test_leaderships_of_one_daemon_share_one_lease():
    async def work(world):
        leases, _ = await world.candidate("vm0")
        held = [await leases.hold(f"ledger/{n}") for n in range(3)]
        assert all(lease.fencing == 1 for lease in held)
        assert world.standin.counts_by_call()["lease/grant"] == 1

    run(work)


def test_isolated_holder_stops_and_another_takes_over_with_a_higher_number():
    async def work(world):
        first, gate = await world.candidate("vm0")
        second, _ = await world.candidate("vm1")
        old = await first.hold(NAME)
        old.check()
        gate.is_shut = True
        world.clock.advance(TTL_S * 0.9)
        with pytest.raises(exceptions.Fenced):
            old.check()
        world.clock.advance(TTL_S)
        new = await second.hold(NAME)
        assert new.fencing == old.fencing + 1
        gate.is_shut = False
        await old.lost()
        assert not old.is_valid

    run(work)


def test_holder_continues_after_an_outage_shorter_than_its_lease():
    async def work(world):
        leases, gate = await world.candidate("vm0")
        lease = await leases.hold(NAME)
        gate.is_shut = True
        world.clock.advance(TTL_S * 0.9)
        assert not lease.is_valid
        gate.is_shut = False
        while not lease.is_valid:
            await asyncio.sleep(0.01)
        lease.check()
        assert await leases.highest(NAME) == 1

    run(work)


def test_takeover_with_a_lost_response_is_read_back():
    async def work(world):
        lost = faults.Fault("lost-after-effect", match="kv/txn")
        world.standin.faults.add(lost)
        leases, _ = await world.candidate("vm0")
        lease = await leases.hold(NAME)
        assert lease.fencing == 1
        assert await leases.highest(NAME) == 1
        assert world.standin.counts_by_call()["kv/txn"] == 1

    run(work)


def test_released_leadership_is_free_at_once():
    async def work(world):
        first, _ = await world.candidate("vm0")
        second, _ = await world.candidate("vm1")
        await first.release(await first.hold(NAME))
        assert (await second.hold(NAME)).fencing == 2

    run(work)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_paused_holder_cannot_change_an_engine(checks_fencing):
    async def work(world):
        engine, held = world.engine(checks_fencing)
        first, gate = await world.candidate("vm0")
        second, _ = await world.candidate("vm1")
        old = await first.hold(NAME)
        gate.is_shut = True
        world.clock.advance(TTL_S * 1.1)
        new = await second.hold(NAME)
        agent, _ = await world.agent(engine)
        load, activate = messages.Kind.LOAD, messages.Kind.ACTIVATE
        await carry_out(agent, order(load, "3", 1, new.fencing))
        await carry_out(agent, order(activate, "3", 2, new.fencing))
        assert held.active == "3"
        # The old holder checked its lease, was paused, and then sent this.
        late = order(load, "2", 9, old.fencing)
        assert await agent.take("vm0", late) == messages.Refusal("agent", 2)
        assert held.loaded == ["1", "3"]

    run(work)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_restarted_agent_refuses_orders_until_it_has_read_the_highest(
    checks_fencing,
):
    async def work(world):
        engine, held = world.engine(checks_fencing)
        first, _ = await world.candidate("vm0")
        second, _ = await world.candidate("vm1")
        await first.release(await first.hold(NAME))
        await second.hold(NAME)
        agent, gate = await world.agent(engine)
        gate.is_shut = True
        late = order(messages.Kind.LOAD, "2", 9, 1)
        with pytest.raises(exceptions.Refused) as raised:
            await agent.take("vm0", late)
        unknown = reasons.Refusal.KEY_VALUE_UNAVAILABLE
        assert raised.value.reason is unknown
        gate.is_shut = False
        assert await agent.take("vm0", late) == messages.Refusal("agent", 2)
        assert held.loaded == ["1"]

    run(work)
