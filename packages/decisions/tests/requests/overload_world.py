"""Calls of many organisations on a service that is short of places.

Virtual time; each entry keeps shares of its own and knows nothing of the
others. A caller that is refused comes back once.
"""

import collections
import heapq
import itertools
import random
import typing

from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import routing

RETRY_AFTER_S = 0.25
CALLERS_RETRIES = 1
# Replicas that one call may be sent to.
MOST_REPLICAS = 3
HOP_S = 0.001


class NoShares:
    """What stands where no shares are kept: whoever comes is let in."""

    total = 0

    def begin(self, organisation, now):
        return True

    def end(self, organisation, is_answered):
        pass

    def refused(self, replica_id, replicas, now):
        pass


class Load(typing.NamedTuple):
    """A service, its entries and the calls a second by organisation."""

    rates_by_organisation: dict
    replicas: int = 3
    slots: int = 6
    queue: int = 24
    work_s: float = 0.0375
    aim_s: float = 0.192
    entries: int = 3
    seconds: float = 15.0

    @property
    def capacity(self):
        """Calls a second that the replicas can do."""
        return self.replicas * self.slots / self.work_s


class Call:
    """One call, or its caller's second try."""

    def __init__(self, organisation, entry, began_at, tries):
        self.organisation = organisation
        self.entry = entry
        self.began_at = began_at
        self.tries = tries
        self.tried = []


class World:
    """Plays a load; counts what became of the calls by organisation."""

    def __init__(self, load, make_shares, seed=1):
        self._load = load
        self._rng = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self.now = 0.0
        self.shares = [make_shares() for _ in range(load.entries)]
        self._policies = [self._policy(seed + i) for i in range(load.entries)]
        self._running = [0] * load.replicas
        self._waiting = [collections.deque() for _ in range(load.replicas)]
        self.asked = collections.Counter()
        self.answered = collections.Counter()
        self.in_time = collections.Counter()
        self.refused = collections.Counter()

    def _policy(self, seed):
        policy = routing.LeastOutstanding(random.Random(seed))
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

    def _arrive(self, organisation, tries):
        entry = self._rng.randrange(self._load.entries)
        call = Call(organisation, entry, self.now, tries)
        if self.shares[entry].begin(organisation, self.now):
            self._send(call)
        else:
            self._refuse(call)

    def _refuse(self, call):
        if call.tries < CALLERS_RETRIES:
            wait_s = RETRY_AFTER_S * self._rng.uniform(1.0, 1.4)
            self._later(
                wait_s, self._arrive, call.organisation, call.tries + 1
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
        policy.started(chosen, self.now)
        replica = int(chosen)
        if self._running[replica] < self._load.slots:
            self._run(replica, call)
        elif len(self._waiting[replica]) < self._load.queue:
            self._waiting[replica].append(call)
        else:
            policy.ended(facts.Ended(chosen, True, HOP_S), self.now)
            self.shares[call.entry].refused(
                chosen, self._load.replicas, self.now
            )
            self._later(HOP_S, self._send, call)

    def _run(self, replica, call):
        self._running[replica] += 1
        took_s = self._rng.expovariate(1 / self._load.work_s)
        self._later(took_s, self._done, replica, call)

    def _done(self, replica, call):
        self._running[replica] -= 1
        if self._waiting[replica]:
            self._run(replica, self._waiting[replica].popleft())
        took_s = self.now - call.began_at
        self._policies[call.entry].ended(
            facts.Ended(str(replica), False, took_s), self.now
        )
        self.shares[call.entry].end(call.organisation, True)
        self.answered[call.organisation] += 1
        self.in_time[call.organisation] += took_s <= self._load.aim_s
