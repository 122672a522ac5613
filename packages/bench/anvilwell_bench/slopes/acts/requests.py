"""What an entry and an agent decide for each request."""

import itertools

from anvilwell_bench.slopes import act
from anvilwell_decisions.requests import admission
from anvilwell_decisions.requests import claims
from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import grants
from anvilwell_decisions.requests import subsets

CALLS = 2000
SIZES = (10, 100, 1000, 5100)
DOMAINS = 13


def _replica(number):
    return facts.ReplicaFacts(
        f"replica-{number}", f"domain-{number % DOMAINS}", frozenset({"7"})
    )


def _subset(size):
    subset = subsets.Subset("entry-1", "domain-1")
    for number in range(size):
        subset.replica_up(_replica(number))
    return subset


class SubsetChangeCpu(act.Act):
    """CPU to take in a change of one replica."""

    name = "entry.subset.cpu"
    act = "one replica of the fleet goes and comes"
    grows_with = "replicas of the service"
    unit = "us"
    sizes = SIZES

    def measure(self, size):
        """Return CPU microseconds for one replica down and up."""
        subset = _subset(size)

        def _change():
            subset.replica_down("replica-5")
            subset.replica_up(_replica(5))

        return act.cpu_us(_change, CALLS // 10)


class SubsetBytes(act.Act):
    """Memory of an entry's ranks of all replicas."""

    name = "entry.subset.bytes"
    act = "ranks of all replicas"
    grows_with = "replicas of the service"
    unit = "bytes"
    sizes = SIZES

    def measure(self, size):
        """Return bytes that the ranks keep."""
        return act.retained_bytes(lambda: _subset(size))


class AdmitCpu(act.Act):
    """CPU to offer a request, admit it from the queue, and end it."""

    name = "agent.admit.cpu"
    act = "offer, admit and end a request"
    grows_with = "requests queued"
    unit = "us"
    sizes = (10, 100, 1000, 2000)

    def measure(self, size):
        """Return CPU microseconds for one request."""
        settings = admission.AdmissionSettings(max_queue=size + 1)
        gate = admission.Admission(settings)
        numbers = itertools.count()
        admitted = []

        def _offer():
            ticket = admission.Ticket(
                f"t{next(numbers)}", facts.Priority.LIVE, 1e9
            )
            answer = gate.offer(ticket, 0.0)
            if isinstance(answer, admission.Admit):
                admitted.append(answer)

        while gate.queued < size:
            _offer()

        def _turn():
            ended = admitted.pop()
            admitted.extend(gate.finished(ended.ticket_id, 1.0, 1.0))
            _offer()

        return act.cpu_us(_turn, CALLS)


class ClaimCpu(act.Act):
    """CPU to claim keys in one write and to settle them."""

    name = "entry.claim.cpu"
    act = "claim and settle the keys of one write"
    grows_with = "claims in the write"
    unit = "us"
    sizes = (1, 10, 30, 100)

    def measure(self, size):
        """Return CPU microseconds for one write of claims."""
        numbers = itertools.count()

        def _claim():
            tracker = claims.ClaimTracker("entry/1")
            actions = []
            for number in range(size):
                request = claims.ClaimRequest(
                    f"c{next(numbers)}", f"k{number}", "d", 9.0
                )
                actions += tracker.claim(request, 0.0)
            while actions:
                action = actions.pop()
                if isinstance(action, claims.Write):
                    applied = claims.WriteApplied(7)
                    actions += tracker.written(action.write_id, applied, 0.0)

        return act.cpu_us(_claim, max(10, CALLS // size // 10))


class GrantCpu(act.Act):
    """CPU of the issuer to answer one entry's demand."""

    name = "entry.grant.cpu"
    act = "answer a demand for a team's rate"
    grows_with = "entries that share the rate"
    unit = "us"
    sizes = (10, 100, 400, 850)

    def measure(self, size):
        """Return CPU microseconds for one demand."""
        issuer = grants.Issuer("t", 1000.0, 1, -100.0)
        numbers = itertools.count()

        def _ask():
            number = next(numbers)
            entry_id = f"entry-{number % size}"
            now = number / size * 2.0
            issuer.issue(grants.Demand("t", entry_id, 5.0), now)

        return act.cpu_us(_ask, CALLS * 5)
