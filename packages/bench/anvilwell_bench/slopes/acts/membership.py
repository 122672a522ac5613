"""Membership as each daemon keeps it."""

import random

from anvilwell_bench.slopes import act
from anvilwell_decisions.membership import node
from anvilwell_kernel.messages import membership as messages

TICKS = 50
CHANGES = 100
TICK_S = 0.1
DOMAINS = 13
_SIZES = (100, 400, 850, 3000)


def _member(number, incarnation=1):
    return messages.Member(
        f"vm-{number:05d}",
        f"10.0.{number // 250}.{number % 250}:7000",
        f"domain-{number % DOMAINS:02d}",
        "agent",
        "service",
        messages.State.LIVE,
        incarnation,
    )


def _node(size):
    """Return a node that knows `size` members, and its time."""
    one = node.Node(_member(0), random.Random(1))
    members = [_member(number) for number in range(1, size)]
    one.receive(0.0, "vm-00001", messages.Difference([], members, False))
    return one


class NodeBytes(act.Act):
    """Memory of the table, the rings and the queues."""

    name = "membership.node.bytes"
    act = "keep the fleet's members"
    grows_with = "members"
    unit = "bytes"
    sizes = _SIZES

    def measure(self, size):
        """Return the bytes kept, the members' records included."""
        return act.retained_bytes(lambda: _node(size))


class TickCpu(act.Act):
    """CPU of one tick, with its share of heartbeats and their acks."""

    name = "membership.tick.cpu"
    act = "one tick of ten a second"
    grows_with = "members"
    unit = "us"
    sizes = _SIZES

    def measure(self, size):
        """Return the microseconds of a tick."""
        one = _node(size)
        state = iter(range(1_000_000))

        def tick():
            now = next(state) * TICK_S
            for action in one.tick(now):
                answer = getattr(action, "message", None)
                if isinstance(answer, messages.Heartbeat):
                    ack = messages.Ack(answer.number, [])
                    one.receive(now, action.vm_id, ack)

        return act.cpu_us(tick, TICKS)


class ChangeCpu(act.Act):
    """CPU of taking in one newer record and queueing the news of it."""

    name = "membership.change.cpu"
    act = "one change of a member's record"
    grows_with = "members"
    unit = "us"
    sizes = _SIZES

    def measure(self, size):
        """Return the microseconds of a change."""
        one = _node(size)
        numbers = iter(range(2, 1_000_000))

        def change():
            incarnation = next(numbers)
            member = _member(1 + incarnation % (size - 1), incarnation)
            one.receive(0.0, "vm-00001", messages.Heartbeat(1, [member]))

        return act.cpu_us(change, CHANGES)
