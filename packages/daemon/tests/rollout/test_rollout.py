"""Rollouts over real sockets: leaders, agents and engine stand-ins."""

import asyncio
import contextlib
import random

from anvilwell_daemon.keyvalue import facade
from anvilwell_daemon.leases import service as leases_service
from anvilwell_daemon.membership import service as membership_service
from anvilwell_daemon.peers import listener
from anvilwell_daemon.peers import service as peers_service
from anvilwell_daemon.rollout import engine_orders
from anvilwell_daemon.rollout import relay
from anvilwell_daemon.rollout import service
from anvilwell_kernel.documents import document as documents
from anvilwell_kernel import exceptions
from anvilwell_kernel import services
from anvilwell_outside.adapters import etcd
from anvilwell_outside.adapters import http_client
from anvilwell_outside.adapters import sse_engine
from anvilwell_standins.base import faults
from anvilwell_standins.engine import server as engines
from anvilwell_standins.engine import weights
from anvilwell_standins.keyvalue import server

WAIT_S = 40.0
TTL_S = 2.0
POLL_S = 0.02


class Gate:
    """Forwards calls to the store; fails them while it is shut."""

    def __init__(self, store):
        self.is_shut = False
        self._store = store

    def __getattr__(self, name):
        if self.is_shut:
            raise exceptions.KeyValueUnavailable("the store is unreachable")
        return getattr(self._store, name)


class Configuration(services.Service):
    """A configuration service with one document that the test changes."""

    name = "configuration"

    def __init__(self, version, floor):
        self.floor = floor
        self.change(version, 1)

    def change(self, version, generation):
        self._generation = generation
        self._document = documents.Document(
            documents.ServiceSection("lm", "model"),
            documents.ModelSection("m", version, 1, self.floor),
        )

    def services(self):
        return ["lm"]

    def document(self, name):
        return self._document

    def generation(self, name):
        return self._generation


class Fleet:
    """Daemons with the services that a rollout requires."""

    def __init__(self, stack, configuration):
        self.stack = stack
        self.configuration = configuration
        self.keyvalue = stack.enter_context(server.KeyValue())
        self.engines = []
        self.seeds = []
        self.rollout = None
        self.gates_by_id = {}

    async def add_entry(self, vm_id):
        self.rollout = service.Rollout()
        parts = [self.configuration, self.rollout]
        await self.start(vm_id, "entry", "", parts)

    async def add_agent(self, vm_id):
        held = weights.Weights("m", "1", swap_s=0.05)
        standin = self.stack.enter_context(engines.Engine(held))
        self.engines.append(standin)
        engine = sse_engine.SseEngine(http_client.HttpClient(standin.address))
        orders = engine_orders.EngineOrders(
            vm_id, "lm", engine, confirm_timeout_s=0.1
        )
        await self.start(vm_id, "agent", "lm", [orders])

    async def start(self, vm_id, role, name, parts):
        store = etcd.Etcd(http_client.HttpClient(self.keyvalue.address))
        self.stack.callback(store.close)
        self.gates_by_id[vm_id] = Gate(store)
        peer_listener = listener.Listener("127.0.0.1", 0)
        kernel = services.Kernel(
            [
                peer_listener,
                peers_service.Peers(vm_id, peer_listener),
                membership_service.Membership(
                    role,
                    name,
                    f"d{len(self.seeds) % 2}",
                    seeds=list(self.seeds),
                    rng=random.Random(vm_id),
                ),
                facade.KeyValueFacade(self.gates_by_id[vm_id], timeout_s=5.0),
                leases_service.Leases(vm_id, ttl_s=TTL_S),
                relay.OrderRelay(),
                *parts,
            ]
        )
        await kernel.start()
        self.stack.push_async_callback(kernel.stop)
        self.seeds.append(peer_listener.address)

    def versions(self):
        return [engine.weights.active for engine in self.engines]

    async def wait_until(self, is_reached):
        while not is_reached():
            await asyncio.sleep(POLL_S)


def run(work, *, floor=0.5, agents=4):
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            fleet = Fleet(stack, Configuration("1", floor))
            async with asyncio.timeout(WAIT_S):
                await fleet.add_entry("entry")
                for number in range(agents):
                    await fleet.add_agent(f"vm{number}")
                await work(fleet)

    asyncio.run(main())


def test_document_change_reaches_every_engine_and_rolls_back():
    async def work(fleet):
        fleet.configuration.change("2", 2)
        await fleet.wait_until(lambda: fleet.versions() == ["2"] * 4)
        fleet.configuration.change("1", 3)
        await fleet.wait_until(lambda: fleet.versions() == ["1"] * 4)

    run(work)


def test_failed_swap_is_retried_then_abandoned_and_reported():
    async def work(fleet):
        never = faults.Fault("swap-failed", count=faults.FOREVER)
        fleet.engines[0].faults.add(never)
        fleet.engines[1].faults.add(faults.Fault("swap-failed"))
        fleet.configuration.change("2", 2)
        await fleet.wait_until(lambda: fleet.versions() == ["1", "2"])
        await fleet.wait_until(lambda: leads(fleet.rollout))
        await fleet.wait_until(
            lambda: fleet.rollout.progress("lm").failed == 1
        )
        assert fleet.rollout.progress("lm").at_version == 1

    run(work, agents=2, floor=0.5)


def test_leader_without_the_store_is_replaced_and_the_rollout_completes():
    async def work(fleet):
        first = fleet.rollout
        fleet.configuration.change("2", 2)
        await fleet.wait_until(lambda: fleet.versions() == ["2"] * 2)
        await fleet.add_entry("second")
        fleet.gates_by_id["entry"].is_shut = True
        await fleet.wait_until(lambda: leads(fleet.rollout))
        assert not leads(first)
        fleet.configuration.change("3", 3)
        await fleet.wait_until(lambda: fleet.versions() == ["3"] * 2)

    run(work, agents=2, floor=0.5)


def leads(rollout):
    try:
        rollout.progress("lm")
    except exceptions.NotFound:
        return False
    return True
