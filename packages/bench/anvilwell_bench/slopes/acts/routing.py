"""Choosing a replica at an entry, as the replicas it knows grow."""

import random

from anvilwell_bench.slopes import act
from anvilwell_daemon.entry import targets
from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import routing
from anvilwell_kernel.messages import codec
from anvilwell_kernel.messages import links
from anvilwell_kernel.messages import membership

SIZES = (10, 100, 1000, 5100)
CALLS = 500
LINKS = 48
FRAMES = codec.Codec(links.KINDS)


def _policy(size):
    policy = routing.PrefixAffinity(random.Random(size))
    for number in range(size):
        replica = facts.ReplicaFacts(f"agent-{number}", f"d{number % 13}")
        policy.replica_up(replica, 0.0)
    return policy


class ChooseCpu(act.Act):
    """CPU of one routing decision with its bookkeeping."""

    name = "entry.route.cpu"
    act = "choose a replica, count its start and its end"
    grows_with = "replicas known"
    unit = "us"
    sizes = SIZES

    def measure(self, size):
        """Return CPU microseconds for one request."""
        policy = _policy(size)
        prefixes = iter(range(1_000_000))

        def decide():
            prefix = str(next(prefixes) % 97)
            request = facts.RequestFacts("r", "planner-lm", prefix=prefix)
            replica_id = policy.choose(request, 0.0)
            policy.started(replica_id, 0.0)
            policy.ended(facts.AttemptEnd(replica_id, False, 0.1), 0.1)

        return act.cpu_us(decide, CALLS)


class ReplicaBytes(act.Act):
    """Memory that an entry's routing keeps for each replica."""

    name = "entry.replica.bytes"
    act = "memory of the routing policy"
    grows_with = "replicas known"
    unit = "bytes"
    sizes = SIZES

    def measure(self, size):
        """Return retained bytes."""
        return act.retained_bytes(lambda: _policy(size))


class LinkCount(act.Act):
    """Links of an entry that holds no runs."""

    name = "entry.links"
    act = "links to the replicas of one service"
    grows_with = "replicas of the service"
    unit = "links"
    sizes = SIZES

    def measure(self, size):
        """Return how many of the replicas are linked to."""
        chosen = targets.Targets("entry-1", "d1", LINKS)
        members = [_member(number) for number in range(size)]
        for member in members:
            chosen.up(member)
        return sum(chosen.wants(member.address) for member in members)


class LoadReportBytes(act.Act):
    """Bytes of the load reports that an entry gets in one round."""

    name = "entry.reports.bytes"
    act = "one load report from each linked agent"
    grows_with = "agents linked"
    unit = "bytes"
    sizes = (8, 16, 32, 64)

    def measure(self, size):
        """Return the bytes of one round of reports."""
        report = links.AgentLoad(12, 3, 32, "1234", 5)
        return size * len(FRAMES.encode(report))


class LoadReportCpu(act.Act):
    """CPU to take in the load reports of one round."""

    name = "entry.reports.cpu"
    act = "decode one load report from each linked agent and note it"
    grows_with = "agents linked"
    unit = "us"
    sizes = (8, 16, 32, 64)

    def measure(self, size):
        """Return CPU microseconds for one round."""
        policy = _policy(size)
        frame = FRAMES.encode(links.AgentLoad(12, 3, 32, "1234", 5))

        def take():
            for number in range(size):
                load = FRAMES.decode(frame)
                report = facts.LoadReport(
                    f"agent-{number}", load.running, load.own, load.limit
                )
                policy.report(report, 0.0)

        return act.cpu_us(take, CALLS // size + 1)


def _member(number):
    return membership.Member(
        f"agent-{number}",
        f"a{number}:1",
        f"d{number % 13}",
        "agent",
        "planner-lm",
        membership.State.LIVE,
        1,
    )
