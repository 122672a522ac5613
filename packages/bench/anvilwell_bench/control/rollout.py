"""A whole rollout through the real decisions, in virtual time."""

import asyncio
import collections
import contextlib
import heapq
import itertools
import random
import time
import typing

from anvilwell_daemon.peers import listener
from anvilwell_daemon.peers import service as peers
from anvilwell_daemon.rollout import relay as relays
from anvilwell_decisions.rollout import grants
from anvilwell_decisions.rollout import reconciler
from anvilwell_decisions.rollout import swap
from anvilwell_kernel.messages import orders as messages

HOST = "127.0.0.1"
SERVICE = "lm"
OLD, NEW = "1", "2"
TICK_S = 0.25
GIVE_UP_S = 3600.0
RELAYED_ORDERS = 100


class Scene(typing.NamedTuple):
    """What is played; times in seconds.

    ``swap_s`` and ``load_s`` are the engine's own; ``one_way_s`` is
    from the leader to a relay, ``order_s`` what a relay takes for one
    order, one after the other.
    """

    replicas: int
    domains: int = 13
    floor: float = 0.5
    swap_s: float = 5.0
    load_s: float = 10.0
    one_way_s: float = 0.025
    order_s: float = 0.001
    failing_share: float = 0.0
    loads_per_s: float = grants.LOADS_PER_S
    is_loaded_ahead: bool = True


class Played(typing.NamedTuple):
    """What came of it; ``leader_cpu_s`` is real processor time.

    ``sound_s`` is when the last sound engine had the version,
    ``took_s`` when the leader knew all to be settled.
    """

    scene: Scene
    sound_s: float
    took_s: float
    least_in_service: int
    leader_cpu_s: float
    batches: int
    orders: int
    failed: int


class Play:
    """Carries messages between one leader and the agents.

    Parameters
    ----------
    scene : Scene
        What to play.
    rng : random.Random
        Chooses the failing engines.
    """

    def __init__(self, scene, rng):
        self._scene = scene
        self._events = []
        self._order = itertools.count()
        self._now = 0.0
        self._cpu_s = 0.0
        self._counts = collections.Counter()
        self._domains_by_id = {
            f"vm-{n:05d}": f"domain-{n % scene.domains:02d}"
            for n in range(scene.replicas)
        }
        ids = list(self._domains_by_id)
        failing = rng.sample(ids, int(scene.failing_share * len(ids)))
        self._failing = frozenset(failing)
        self._agents_by_id = {v: self._agent(v, rng) for v in ids}
        self._versions_by_id = dict.fromkeys(ids, OLD)
        self._sound_s = 0.0
        self._swapping = 0
        self._most_swapping = 0
        self._leader = reconciler.Reconciler(
            SERVICE, 1, grants.LoadGrants(scene.loads_per_s)
        )

    def run(self):
        """Play until the rollout is settled; return what came of it."""
        self._leader.set_members(self._domains_by_id)
        wanted = reconciler.Desired(NEW, 1, self._scene.floor)
        self._leader.desire(wanted)
        while not self._leader.is_settled and self._now < GIVE_UP_S:
            self._timed(self._lead)
            self._now += TICK_S
            while self._events and self._events[0][0] <= self._now:
                at_s, _, act, arguments = heapq.heappop(self._events)
                act(at_s, *arguments)
        return Played(
            self._scene,
            self._sound_s,
            self._now,
            self._scene.replicas - self._most_swapping,
            self._cpu_s,
            self._counts["batches"],
            self._counts["orders"],
            self._leader.progress().failed,
        )

    def _agent(self, vm_id, rng):
        agent = swap.Swap(vm_id, rng, -swap.CONFIRM_TIMEOUT_S)
        agent.gate.raise_to(0)
        if self._scene.is_loaded_ahead:
            agent.read(NEW, 0.0)
        agent.read(OLD, 0.0)
        return agent

    def _timed(self, work, *arguments):
        began = time.process_time()
        result = work(*arguments)
        self._cpu_s += time.process_time() - began
        return result

    def _lead(self):
        batches = collections.defaultdict(list)
        for vm_id, order in self._leader.tick(self._now).items():
            batches[self._domains_by_id[vm_id]].append((vm_id, order))
        for orders in batches.values():
            self._counts["batches"] += 1
            self._counts["orders"] += len(orders)
            self._send(orders)

    def _send(self, orders):
        scene = self._scene
        arrival_s = self._now + scene.one_way_s
        for place, (vm_id, order) in enumerate(orders):
            at_s = arrival_s + place * scene.order_s
            self._at(at_s, self._take, vm_id, order)
        done_s = arrival_s + len(orders) * scene.order_s
        ids = [vm_id for vm_id, _ in orders]
        self._at(done_s, self._answer, ids)

    def _take(self, at_s, vm_id, order):
        for action in self._agents_by_id[vm_id].order(order, at_s):
            is_swap = action.order.kind is messages.Kind.ACTIVATE
            self._swapping += is_swap
            self._most_swapping = max(self._most_swapping, self._swapping)
            spent_s = self._scene.swap_s if is_swap else self._scene.load_s
            self._at(at_s + spent_s, self._end, vm_id, action.order)

    def _end(self, at_s, vm_id, order):
        agent = self._agents_by_id[vm_id]
        outcome = swap.CallOutcome.DONE
        if order.kind is messages.Kind.ACTIVATE:
            self._swapping -= 1
            if vm_id in self._failing:
                outcome = swap.CallOutcome.FAILED
            else:
                self._versions_by_id[vm_id] = order.version
                self._sound_s = at_s
        agent.read(self._versions_by_id[vm_id], at_s)
        agent.executed(outcome, at_s)

    def _answer(self, at_s, ids):
        reports = [self._agents_by_id[v].report(at_s, 0) for v in ids]
        arrival_s = at_s + self._scene.one_way_s
        self._at(arrival_s, self._hear, reports)

    def _hear(self, at_s, reports):
        for report in reports:
            self._timed(self._leader.report, report)

    def _at(self, at_s, act, *arguments):
        event = (at_s, next(self._order), act, arguments)
        heapq.heappush(self._events, event)


def play(scene, seed):
    """Return what came of `scene`."""
    return Play(scene, random.Random(seed)).run()


async def relay_order_s():
    """Return processor seconds of one order through a relay here.

    Dial, hellos, order and report over loopback, both ends in this
    process: more than a relay alone would spend.
    """
    async with contextlib.AsyncExitStack() as stack:
        relay = await _daemon(stack, "relay")
        agents = [
            await _daemon(stack, f"agent-{number}")
            for number in range(RELAYED_ORDERS)
        ]
        order = messages.Order(SERVICE, messages.Kind.STATUS, "", 0, 1, 0)
        began = time.process_time()
        room = asyncio.Semaphore(relays.CONCURRENCY)
        works = (_ask(relay, one, order, room) for one in agents)
        await asyncio.gather(*works)
        return (time.process_time() - began) / RELAYED_ORDERS


async def _ask(relay, agent, order, room):
    relay.learn(agent.vm_id, agent.address)
    async with room:
        await relay.request(agent.vm_id, order, GIVE_UP_S)


async def _daemon(stack, vm_id):
    door = listener.Listener(HOST, 0)
    links = peers.Peers(vm_id, door, max_links=2 * RELAYED_ORDERS)
    links.declare(messages.KINDS)
    report = messages.Report(
        vm_id, OLD, [OLD], [], messages.Activity.IDLE, 1, 0, 1
    )

    async def answer(sender, order):
        return report

    links.on(messages.Order, answer)
    await door.start(None)
    stack.push_async_callback(door.stop)
    await links.start(None)
    stack.push_async_callback(links.stop)
    links.address = door.address
    return links
