"""Calls of many organisations on a service that is short of places.

Virtual time; each entry keeps shares of its own and knows nothing of the
others, but for what a replica's answers tell. A caller that is refused
comes back once.
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
CALLERS_RETRIES = 1
# Replicas that one call may be sent to.
MOST_REPLICAS = 3
HOP_S = 0.001
CONTENTION = 2.5
SPELL_S = 0.6


class NoShares:
    """What stands where no shares are kept: whoever comes is let in."""

    total = 0

    def begin(self, organisation, now, weight=1.0):
        return True

    def end(self, organisation, is_answered):
        pass

    def refused(self, replica_id, replicas, now):
        pass


class ConstantRetryAfter:
    """What stands where returns are not spread: all wait for as long."""

    def answered(self, now):
        pass

    def wait_s(self, now, left_s):
        return RETRY_AFTER_S


class Load(typing.NamedTuple):
    """A service, its entries and the calls a second by organisation.

    ``paces`` are the replicas' times for the same work, in turn. While
    `is_contended`, work takes `CONTENTION` times as long at one replica in
    seven, for `SPELL_S` at a time.
    """

    rates_by_organisation: dict
    replicas: int = 3
    slots: int = 6
    queue: int = 24
    work_s: float = 0.0375
    aim_s: float = 0.192
    entries: int = 3
    seconds: float = 15.0
    weights_by_organisation: typing.Mapping = types.MappingProxyType({})
    limit_s: float = 2.0
    paces: tuple = (1.0,)
    is_contended: bool = False

    @property
    def capacity(self):
        """Calls a second that the replicas can do."""
        speeds = itertools.cycle(1 / pace for pace in self.paces)
        total = sum(itertools.islice(speeds, self.replicas))
        return total * self.slots / self.work_s

    def contention(self, replica, now):
        """Return how long work takes at a replica now, 1.0 as usual."""
        spell = random.Random(f"{replica}/{now // SPELL_S}").random()
        is_busy = self.is_contended and spell < 1 / 7
        return CONTENTION if is_busy else 1.0


class Call:
    """One call, or its caller's second try."""

    def __init__(self, organisation, entry, began_at, tries):
        self.organisation = organisation
        self.entry = entry
        self.began_at = began_at
        self.tries = tries
        # When its caller first came.
        self.came_at = began_at
        self.sent_at = began_at
        self.tried = []


class World:
    """Plays a load; counts what became of the calls by organisation."""

    def __init__(
        self,
        load,
        make_shares,
        seed=1,
        make_policy=routing.LeastOutstanding,
        make_schedule=ConstantRetryAfter,
    ):
        self._load = load
        self._make_policy = make_policy
        self._rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self.now = 0.0
        self.shares = [make_shares() for _ in range(load.entries)]
        self._policies = [self._policy(seed + i) for i in range(load.entries)]
        self._schedules = [make_schedule() for _ in range(load.entries)]
        self._running = [0] * load.replicas
        self._waiting = [collections.deque() for _ in range(load.replicas)]
        self.asked = collections.Counter()
        self.answered = collections.Counter()
        self.in_time = collections.Counter()
        self.refused = collections.Counter()
        self.times_s = []

    def _policy(self, seed):
        policy = self._make_policy(random.Random(seed))
        for replica in range(self._load.replicas):
            policy.replica_up(facts.ReplicaFacts(str(replica)), 0.0)
        return policy

    def _later(self, delay_s, what, *args):
        event = (self.now + delay_s, next(self._order), what, args)
        heapq.heappush(self._events, event)

    def play(self):
        """Play the whole load; return self."""
        for organisation, rate in self._load.rates_by_organisation.items():
            self._later(self._rng.expovariate(rate), self._ask, organisation)
        while self._events and self._events[0][0] < self._load.seconds:
            self.now, _, what, args = heapq.heappop(self._events)
            what(*args)
        return self

    def share(self, counts, prefix):
        """Return the part of the calls of some organisations in `counts`."""
        names = [name for name in self.asked if name.startswith(prefix)]
        return sum(counts[name] for name in names) / sum(
            self.asked[name] for name in names
        )

    def _ask(self, organisation):
        self.asked[organisation] += 1
        rate = self._load.rates_by_organisation[organisation]
        self._later(self._rng.expovariate(rate), self._ask, organisation)
        self._arrive(organisation, 0)

    def _arrive(self, organisation, tries, came_at=None):
        entry = self._rng.randrange(self._load.entries)
        call = Call(organisation, entry, self.now, tries)
        if came_at is not None:
            call.came_at = came_at
        weight = self._load.weights_by_organisation.get(organisation, 1.0)
        if self.shares[entry].begin(organisation, self.now, weight):
            self._send(call)
        else:
            self._refuse(call)

    def _refuse(self, call):
        if call.tries < CALLERS_RETRIES:
            schedule = self._schedules[call.entry]
            left_s = call.came_at + self._load.limit_s - self.now
            wait_s = schedule.wait_s(self.now, left_s)
            wait_s *= self._rng.uniform(1.0, 1.4)
            self._later(
                wait_s,
                self._arrive,
                call.organisation,
                call.tries + 1,
                call.came_at,
            )
        else:
            self.refused[call.organisation] += 1

    def _send(self, call):
        """Ask the next replica."""
        policy = self._policies[call.entry]
        wanted = facts.RequestFacts("r", excluded=frozenset(call.tried))
        chosen = None
        if len(call.tried) < MOST_REPLICAS:
            chosen = policy.choose(wanted, self.now)
        if chosen is None:
            self.shares[call.entry].end(call.organisation, False)
            self._refuse(call)
            return
        call.tried.append(chosen)
        call.sent_at = self.now
        policy.started(chosen, self.now)
        replica = int(chosen)
        if self._running[replica] < self._load.slots:
            self._run(replica, call)
        elif len(self._waiting[replica]) < self._load.queue:
            self._waiting[replica].append(call)
        else:
            policy.ended(facts.AttemptEnd(chosen, True, HOP_S), self.now)
            self.shares[call.entry].refused(
                chosen, self._load.replicas, self.now
            )
            self._later(HOP_S, self._send, call)

    def _run(self, replica, call):
        self._running[replica] += 1
        load = self._load
        work_s = self._rng.expovariate(1 / load.work_s)
        pace = load.paces[replica % len(load.paces)]
        took_s = work_s * pace * load.contention(replica, self.now)
        self._later(took_s, self._done, replica, call)

    def _done(self, replica, call):
        self._running[replica] -= 1
        if self._waiting[replica]:
            self._run(replica, self._waiting[replica].popleft())
        took_s = self.now - call.began_at
        policy = self._policies[call.entry]
        there = self._running[replica] + len(self._waiting[replica])
        policy.report(
            facts.LoadReport(
                str(replica),
                there,
                0,
                self._load.slots,
                self._load.contention(replica, self.now),
            ),
            self.now,
        )
        policy.ended(
            facts.AttemptEnd(
                str(replica), False, self.now - call.sent_at, True
            ),
            self.now,
        )
        self.times_s.append(took_s)
        self.shares[call.entry].end(call.organisation, True)
        self._schedules[call.entry].answered(self.now)
        self.answered[call.organisation] += 1
        self.in_time[call.organisation] += took_s <= self._load.aim_s
