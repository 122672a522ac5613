"""How long real nodes take to know what a large loss took along."""

import heapq
import itertools
import random

from anvilwell_bench.slopes import act
from anvilwell_decisions.membership import node as nodes
from anvilwell_kernel.messages import membership as messages

DOMAINS = 12
TICK_S = 0.1
DELAY_S = 0.01
SETTLE_S = 5.0
LIMIT_S = 120.0


def _member(number, domain):
    return messages.Member(
        f"vm-{number:05d}",
        f"10.0.{number >> 8}.{number & 255}:7300",
        domain,
        "agent",
        "planner-lm",
        messages.State.LIVE,
        1,
    )


class _World:
    """Nodes of which one domain in thirteen is lost, in virtual time."""

    def __init__(self, lost):
        count = lost * DOMAINS
        living = [
            _member(number, f"domain-{number % DOMAINS:02d}")
            for number in range(count)
        ]
        gone = [
            _member(count + number, "domain-lost") for number in range(lost)
        ]
        self.lost_ids = {member.vm_id for member in gone}
        self.now = 0.0
        self._queue = []
        self._order = itertools.count()
        self._nodes_by_id = {
            member.vm_id: self._node(member, [*living, *gone])
            for member in [*living, *gone]
        }

    @staticmethod
    def _node(me, members):
        node = nodes.Node(me, random.Random(me.vm_id))
        known = [member for member in members if member != me]
        node.receive(
            0.0, known[0].vm_id, messages.Difference([], known, False)
        )
        return node

    def run(self, seconds):
        """Go on for `seconds`."""
        end = self.now + seconds
        while self.now < end:
            self.tick()

    def lose(self):
        """Take the lost domain's nodes away."""
        for vm_id in self.lost_ids:
            del self._nodes_by_id[vm_id]

    def is_known(self):
        """Return whether every living node knows of every death."""
        dead = messages.State.DEAD
        return all(
            node.members_by_id[vm_id].state is dead
            for node in self._nodes_by_id.values()
            for vm_id in self.lost_ids
        )

    def tick(self):
        """Deliver what is due and let every node tick."""
        self.now += TICK_S
        while self._queue and self._queue[0][0] <= self.now:
            at, _, sender, send = heapq.heappop(self._queue)
            node = self._nodes_by_id.get(send.vm_id)
            if node:
                self._carry(
                    sender=send.vm_id,
                    actions=node.receive(at, sender, send.message),
                    at=at,
                )
        for vm_id, node in self._nodes_by_id.items():
            self._carry(vm_id, node.tick(self.now), self.now)

    def _carry(self, sender, actions, at):
        for action in actions:
            if isinstance(action, nodes.Send):
                due = at + DELAY_S
                heapq.heappush(
                    self._queue, (due, next(self._order), sender, action)
                )


class LossSeconds(act.Act):
    """Virtual seconds until a lost domain is known everywhere."""

    name = "membership.loss.time"
    act = "virtual seconds until every node knows each death"
    grows_with = "daemons of the lost domain"
    unit = "s"
    sizes = (12, 18, 24, 30)

    def measure(self, size):
        """Return seconds of virtual time."""
        world = _World(size)
        world.run(SETTLE_S)
        world.lose()
        begun = world.now
        while not world.is_known() and world.now - begun < LIMIT_S:
            world.tick()
        return world.now - begun
