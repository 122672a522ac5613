"""Membership in one daemon, as the fleet grows."""

import random

from anvilwell_bench.slopes import act
from anvilwell_decisions.membership import node as nodes
from anvilwell_kernel.messages import codec
from anvilwell_kernel.messages import membership as messages

FRAMES = codec.Codec(messages.KINDS)
SIZES = (100, 400, 1600, 6000)
DOMAINS = 13
TICK_S = 0.1
QUIET_S = 20.0
SETTLE_S = 10.0
DELTAS = 50


def _member(number, incarnation=1):
    return messages.Member(
        vm_id=f"vm-{number:05d}",
        address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7300",
        failure_domain=f"domain-{number % DOMAINS}",
        role="agent",
        service="planner-lm",
        state=messages.State.LIVE,
        incarnation=incarnation,
    )


def _node(size):
    """Return a node that knows `size` members."""
    node = nodes.Node(_member(0), random.Random(size))
    members = [_member(number) for number in range(1, size)]
    node.receive(0.0, "vm-00001", messages.Difference([], members, False))
    return node


class _Life:
    """Runs one node whose neighbours answer, in virtual time."""

    def __init__(self, size):
        self.node = _node(size)
        self.now = 0.0
        self.news = 0
        self._settle()

    def run(self, seconds):
        """Go on for `seconds`; return the bytes sent and received."""
        return sum(self._tick() for _ in range(round(seconds / TICK_S)))

    def _settle(self):
        """Run until what the node learned has been passed on."""
        before = -1
        while self.news != before:
            before = self.news
            self.run(SETTLE_S)

    def _tick(self):
        self.now += TICK_S
        return sum(map(self._carry, _sends(self.node.tick(self.now))))

    def _carry(self, sent):
        size = len(FRAMES.encode(sent.message))
        if not isinstance(sent.message, messages.Heartbeat):
            return size
        self.news += len(sent.message.members)
        ack = messages.Ack(sent.message.number, [])
        self.node.receive(self.now, sent.vm_id, ack)
        return size + len(FRAMES.encode(ack))


def _sends(actions):
    return [one for one in actions if isinstance(one, nodes.Send)]


class QuietBytes(act.Act):
    """Bytes a second that a node's own heartbeats cause."""

    name = "membership.quiet.bytes"
    act = "heartbeats, their answers and digests that a node starts"
    grows_with = "daemons"
    unit = "bytes/s"
    sizes = SIZES

    def measure(self, size):
        """Return bytes a second, in and out together."""
        return _Life(size).run(QUIET_S) / QUIET_S


class QuietCpu(act.Act):
    """CPU that a node's ticks and heartbeats take."""

    name = "membership.quiet.cpu"
    act = "ticks, heartbeats and answers of one second"
    grows_with = "daemons"
    unit = "us/s"
    sizes = SIZES

    def measure(self, size):
        """Return CPU microseconds for each second."""
        life = _Life(size)
        return act.cpu_us(lambda: life.run(QUIET_S), 1) / QUIET_S


class ChangeCpu(act.Act):
    """CPU to take in one changed member and pass it on."""

    name = "membership.change.cpu"
    act = "take in one changed member"
    grows_with = "daemons"
    unit = "us"
    sizes = SIZES

    def measure(self, size):
        """Return CPU microseconds for one change."""
        node = _node(size)
        numbers = iter(range(2, 1_000_000))

        def change():
            number = next(numbers)
            member = _member(number % (size - 2) + 2, incarnation=number)
            heartbeat = messages.Heartbeat(number, [member])
            node.receive(0.0, "vm-00001", heartbeat)

        return act.cpu_us(change, DELTAS)


class MemberBytes(act.Act):
    """Memory that a node keeps for the members it knows."""

    name = "membership.table.bytes"
    act = "memory of the member table, rings and news"
    grows_with = "daemons"
    unit = "bytes"
    sizes = SIZES

    def measure(self, size):
        """Return retained bytes."""
        return act.retained_bytes(lambda: _node(size))


class NewsBytes(act.Act):
    """Bytes of a heartbeat with news of changed members."""

    name = "membership.news.bytes"
    act = "heartbeat with records of changed members"
    grows_with = "records"
    unit = "bytes"
    sizes = (0, 4, 8, 16)

    def measure(self, size):
        """Return the frame's bytes."""
        members = [_member(number) for number in range(size)]
        return len(FRAMES.encode(messages.Heartbeat(123456, members)))
