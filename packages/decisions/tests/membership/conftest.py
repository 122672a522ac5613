"""A simulated fleet of nodes whose messages the test controls."""

import heapq
import itertools
import random

import pytest

from anvilwell_decisions.membership import node
from anvilwell_kernel.messages import membership as messages

TICK_S = 0.1
DELAY_S = 0.01


def member(vm_id, domain, state=messages.State.LIVE, incarnation=1):
    return messages.Member(
        vm_id, f"10.0.0.1:{vm_id}", domain, "agent", "s", state, incarnation
    )


@pytest.fixture(name="make_fleet")
def fixture_make_fleet():
    return Fleet


class Fleet:
    """Runs nodes in virtual time; links can be cut, slow or lossy."""

    def __init__(self, count, *, domains=3, seed=0):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.loss = 0.0
        self.duplication = 0.0
        self.max_delay_s = DELAY_S
        self.down = set()
        self.paused = set()
        self.loses_for_paused = False
        self.group_by_id = {}
        self.sent = []
        self.changes = []
        self.nodes_by_id = {}
        self._queue = []
        self._order = itertools.count()
        for number in range(count):
            self.add(f"vm{number}", f"d{number % domains}")

    def add(self, vm_id, domain, incarnation=1):
        me = member(vm_id, domain, incarnation=incarnation)
        rng = random.Random(self.rng.random())
        self.nodes_by_id[vm_id] = node.Node(me, rng)
        self.down.discard(vm_id)
        seeds = [v for v in self.nodes_by_id if v != vm_id]
        if seeds:
            joined = self.nodes_by_id[vm_id]
            self.perform(vm_id, joined.meet(self.now, self.rng.choice(seeds)))

    def run(self, seconds):
        end = round(self.now + seconds, 3)
        while self.now < end:
            self.now = round(self.now + TICK_S, 3)
            self.deliver()
            for vm_id in list(self.nodes_by_id):
                if self.is_up(vm_id):
                    self.perform(vm_id, self.nodes_by_id[vm_id].tick(self.now))

    def deliver(self):
        while self._queue and self._queue[0][0] <= self.now:
            *_, sender, send = heapq.heappop(self._queue)
            if send.vm_id in self.down or not self.reaches(sender, send.vm_id):
                continue
            if send.vm_id in self.paused:
                if not self.loses_for_paused:
                    self.enqueue(self.now + TICK_S, sender, send)
                continue
            target = self.nodes_by_id[send.vm_id]
            self.perform(
                send.vm_id, target.receive(self.now, sender, send.message)
            )

    def perform(self, sender, actions):
        for action in actions:
            if isinstance(action, node.Changed):
                self.changes.append((self.now, sender, action))
                continue
            self.sent.append((self.now, sender, action))
            for _ in range(self.copies()):
                delay_s = self.rng.uniform(0.0, self.max_delay_s)
                self.enqueue(self.now + delay_s, sender, action)

    def copies(self):
        if self.rng.random() < self.loss:
            return 0
        return 2 if self.rng.random() < self.duplication else 1

    def enqueue(self, at, sender, send):
        heapq.heappush(self._queue, (at, next(self._order), sender, send))

    def is_up(self, vm_id):
        return vm_id not in self.down and vm_id not in self.paused

    def reaches(self, sender, receiver):
        group = self.group_by_id
        return group.get(sender) == group.get(receiver)

    def states_of(self, vm_id):
        return {
            observer: self.nodes_by_id[observer].members_by_id[vm_id].state
            for observer in self.nodes_by_id
            if self.is_up(observer)
            and vm_id in self.nodes_by_id[observer].members_by_id
        }

    def views(self):
        return {
            observer: {
                vm_id: known.state
                for vm_id, known in view.members_by_id.items()
            }
            for observer, view in self.nodes_by_id.items()
            if self.is_up(observer)
        }
