"""A rollout in progress, as the replicas of its service grow."""

import collections

from anvilwell_bench.slopes import act
from anvilwell_decisions.rollout import grants
from anvilwell_decisions.rollout import reconciler
from anvilwell_kernel.messages import codec
from anvilwell_kernel.messages import orders as messages

SIZES = (50, 100, 200, 400)
DOMAINS = 13
TICK_S = 0.25
LIVE_FLOOR = 0.5
_CODEC = codec.Codec(messages.KINDS)
_FIRST, _NEXT = "1", "2"


def _ids(size):
    return {
        f"agent-{number:05d}": f"domain-{number % DOMAINS:02d}"
        for number in range(size)
    }


class _Rollout:
    """Carries one rollout through its leader; agents answer at once."""

    def __init__(self, size):
        self.now = 0.0
        self.counts_by_kind = collections.Counter()
        self._versions_by_id = dict.fromkeys(_ids(size), _FIRST)
        self._loaded = set()
        self.leader = reconciler.Reconciler(
            "planner-lm", 1, grants.LoadGrants()
        )
        self.leader.set_members(_ids(size))
        self._desire(_FIRST, 1)
        self.tick()

    def run(self):
        """Roll the next version out to every replica."""
        self.counts_by_kind.clear()
        self._desire(_NEXT, 2)
        while not self.leader.is_settled:
            self.tick()

    def tick(self):
        """Let the leader look once and have its orders carried out."""
        orders_by_id = self.leader.tick(self.now)
        for vm_id, order in orders_by_id.items():
            self.leader.report(self._obey(vm_id, order))
        self.now += TICK_S

    def _desire(self, version, generation):
        self.leader.desire(reconciler.Desired(version, generation, LIVE_FLOOR))

    def _obey(self, vm_id, order):
        self.counts_by_kind[order.kind] += 1
        if order.kind is messages.Kind.LOAD:
            self._loaded.add(vm_id)
        if order.kind is messages.Kind.ACTIVATE:
            self._versions_by_id[vm_id] = order.version
        return messages.Report(
            vm_id,
            self._versions_by_id[vm_id],
            [_FIRST, _NEXT] if vm_id in self._loaded else [_FIRST],
            [],
            messages.Activity.IDLE,
            order.fencing,
            order.number,
            sum(self.counts_by_kind.values()) + 1,
        )


class RolloutOrders(act.Act):
    """Orders that a leader gives for one version."""

    name = "rollout.orders"
    act = "orders of one version, status questions included"
    grows_with = "replicas of the service"
    unit = "orders"
    sizes = SIZES

    def measure(self, size):
        """Return the number of orders."""
        rollout = _Rollout(size)
        rollout.run()
        return sum(rollout.counts_by_kind.values())


class RolloutLoadSeconds(act.Act):
    """Virtual seconds that grants take to load a version everywhere."""

    name = "rollout.load.time"
    act = "virtual seconds until grants have loaded a version"
    grows_with = "replicas of the service"
    unit = "s"
    sizes = SIZES

    def measure(self, size):
        """Return seconds of virtual time, engines taking none."""
        rollout = _Rollout(size)
        begun = rollout.now
        rollout.run()
        return rollout.now - begun


class LeaderCpu(act.Act):
    """CPU of one look of a leader."""

    name = "rollout.tick.cpu"
    act = "one look at all replicas, with nothing to order"
    grows_with = "replicas of the service"
    unit = "us"
    sizes = (50, 200, 800, 2000)

    def measure(self, size):
        """Return CPU microseconds for one look."""
        rollout = _Rollout(size)
        return act.cpu_us(rollout.tick, 10)


class BatchBytes(act.Act):
    """Bytes of a batch of orders for one failure domain."""

    name = "rollout.batch.bytes"
    act = "batch of orders for one failure domain"
    grows_with = "orders in the batch"
    unit = "bytes"
    sizes = SIZES

    def measure(self, size):
        """Return the frame's bytes."""
        order = messages.Order(
            "planner-lm", messages.Kind.ACTIVATE, "1234", 4321, 99, 12345
        )
        targets = [
            messages.Target(vm_id, "10.0.200.200:7000", order)
            for vm_id in _ids(size)
        ]
        return len(_CODEC.encode(messages.Batch(targets)))
