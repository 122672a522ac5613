"""Simulates calls of many organisations to an overloaded service.

Time is virtual. Each entry keeps its own shares and learns about the load of
other entries only from the replicas' responses. A refused caller returns
once.
"""

import collections
import heapq
import itertools
import random
import types
import typing

from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import routing

RETRY_AFTER_S = 0.25
CALLER_RETRIES = 1
# Maximum number of replicas that one call is sent to.
MAX_REPLICAS = 3
HOP_S = 0.001
CONTENTION = 2.5
SLOWDOWN_S = 0.6


class UnlimitedShares:
    """Stands in for `FairShares` and admits every call."""

    total = 0

    def begin(self, organisation, now, weight=1.0):
        return True

    def end(self, organisation, is_answered):
        pass

    def refused(self, replica_id, replicas, now):
        pass


class ConstantRetryAfter:
    """Stands in for `RetrySchedule`; all delays are the same."""

    def answered(self, now):
        pass

    def wait_s(self, now, time_left_s):
        return RETRY_AFTER_S


class Workload(typing.NamedTuple):
    """A service, its entries and the call rate of each organisation.

    ``duration_factors`` are the durations of the same work at the replicas, in
    turn, as multiples of ``work_s``. If ``is_contended``, work takes
    `CONTENTION` times as long at a replica in one of seven periods of
    `SLOWDOWN_S` seconds, chosen at random.
    """

    rates_by_organisation: dict
    replicas: int = 3
    slots: int = 6
    queue: int = 24
    work_s: float = 0.0375
    target_s: float = 0.192
    entries: int = 3
    seconds: float = 15.0
    weights_by_organisation: typing.Mapping = types.MappingProxyType({})
    limit_s: float = 2.0
    duration_factors: tuple = (1.0,)
    is_contended: bool = False

    @property
    def capacity_per_s(self):
        """Calls per second that the replicas can serve."""
        speeds = itertools.cycle(
            1 / duration_factor for duration_factor in self.duration_factors
        )
        total = sum(itertools.islice(speeds, self.replicas))
        return total * self.slots / self.work_s

    def contention(self, replica, now):
        """Return the contention of a replica, 1.0 if there is none."""
        draw = random.Random(f"{replica}/{now // SLOWDOWN_S}").random()
        is_slowed = self.is_contended and draw < 1 / 7
        return CONTENTION if is_slowed else 1.0


class Call:
    """A call, or its caller's second attempt."""

    def __init__(self, organisation, entry, began_at, tries):
        self.organisation = organisation
        self.entry = entry
        self.began_at = began_at
        self.tries = tries
        # When the caller made its first attempt.
        self.first_sent_at = began_at
        self.sent_at = began_at
        self.tried = []


class Simulation:
    """Runs a workload and counts the results by organisation."""

    def __init__(
        self,
        workload,
        make_shares,
        seed=1,
        make_policy=routing.LeastOutstanding,
        make_schedule=ConstantRetryAfter,
    ):
        self._workload = workload
        self._make_policy = make_policy
        self._rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self.now = 0.0
        self.shares = [make_shares() for _ in range(workload.entries)]
        self._policies = [
            self._policy(seed + i) for i in range(workload.entries)
        ]
        self._schedules = [make_schedule() for _ in range(workload.entries)]
        self._running = [0] * workload.replicas
        self._waiting = [collections.deque() for _ in range(workload.replicas)]
        self.sent = collections.Counter()
        self.answered = collections.Counter()
        self.in_time = collections.Counter()
        self.refused = collections.Counter()
        self.durations_s = []

    def _policy(self, seed):
        policy = self._make_policy(random.Random(seed))
        for replica in range(self._workload.replicas):
            policy.replica_up(facts.ReplicaFacts(str(replica)), 0.0)
        return policy

    def _schedule_in(self, delay_s, callback, *args):
        event = (self.now + delay_s, next(self._order), callback, args)
        heapq.heappush(self._events, event)

    def run(self):
        """Run the whole workload; return self."""
        for (
            organisation,
            rate,
        ) in self._workload.rates_by_organisation.items():
            self._schedule_in(
                self._rng.expovariate(rate), self._send_new_call, organisation
            )
        while self._events and self._events[0][0] < self._workload.seconds:
            self.now, _, callback, args = heapq.heappop(self._events)
            callback(*args)
        return self

    def share(self, counts, prefix):
        """Return `counts` of some organisations as a share of their calls.

        The organisations are those whose names start with `prefix`.
        """
        names = [name for name in self.sent if name.startswith(prefix)]
        return sum(counts[name] for name in names) / sum(
            self.sent[name] for name in names
        )

    def _send_new_call(self, organisation):
        self.sent[organisation] += 1
        rate = self._workload.rates_by_organisation[organisation]
        self._schedule_in(
            self._rng.expovariate(rate), self._send_new_call, organisation
        )
        self._begin_call(organisation, 0)

    def _begin_call(self, organisation, tries, first_sent_at=None):
        entry = self._rng.randrange(self._workload.entries)
        call = Call(organisation, entry, self.now, tries)
        if first_sent_at is not None:
            call.first_sent_at = first_sent_at
        weight = self._workload.weights_by_organisation.get(organisation, 1.0)
        if self.shares[entry].begin(organisation, self.now, weight):
            self._send(call)
        else:
            self._refuse(call)

    def _refuse(self, call):
        if call.tries < CALLER_RETRIES:
            schedule = self._schedules[call.entry]
            time_left_s = (
                call.first_sent_at + self._workload.limit_s - self.now
            )
            wait_s = schedule.wait_s(self.now, time_left_s)
            wait_s *= self._rng.uniform(1.0, 1.4)
            self._schedule_in(
                wait_s,
                self._begin_call,
                call.organisation,
                call.tries + 1,
                call.first_sent_at,
            )
        else:
            self.refused[call.organisation] += 1

    def _send(self, call):
        """Send a call to the next replica."""
        policy = self._policies[call.entry]
        request = facts.RequestFacts("r", excluded=frozenset(call.tried))
        chosen = None
        if len(call.tried) < MAX_REPLICAS:
            chosen = policy.choose(request, self.now)
        if chosen is None:
            self.shares[call.entry].end(call.organisation, False)
            self._refuse(call)
            return
        call.tried.append(chosen)
        call.sent_at = self.now
        policy.started(chosen, self.now)
        replica = int(chosen)
        if self._running[replica] < self._workload.slots:
            self._run(replica, call)
        elif len(self._waiting[replica]) < self._workload.queue:
            self._waiting[replica].append(call)
        else:
            policy.ended(facts.AttemptEnd(chosen, True, HOP_S), self.now)
            self.shares[call.entry].refused(
                chosen, self._workload.replicas, self.now
            )
            self._schedule_in(HOP_S, self._send, call)

    def _run(self, replica, call):
        self._running[replica] += 1
        workload = self._workload
        work_s = self._rng.expovariate(1 / workload.work_s)
        duration_factor = workload.duration_factors[
            replica % len(workload.duration_factors)
        ]
        duration_s = (
            work_s * duration_factor * workload.contention(replica, self.now)
        )
        self._schedule_in(duration_s, self._done, replica, call)

    def _done(self, replica, call):
        self._running[replica] -= 1
        if self._waiting[replica]:
            self._run(replica, self._waiting[replica].popleft())
        duration_s = self.now - call.began_at
        policy = self._policies[call.entry]
        in_flight = self._running[replica] + len(self._waiting[replica])
        policy.report(
            facts.LoadReport(
                str(replica),
                in_flight,
                0,
                self._workload.slots,
                self._workload.contention(replica, self.now),
            ),
            self.now,
        )
        policy.ended(
            facts.AttemptEnd(
                str(replica), False, self.now - call.sent_at, True
            ),
            self.now,
        )
        self.durations_s.append(duration_s)
        self.shares[call.entry].end(call.organisation, True)
        self._schedules[call.entry].answered(self.now)
        self.answered[call.organisation] += 1
        self.in_time[call.organisation] += (
            duration_s <= self._workload.target_s
        )
