"""Routing policies: choose the replica for a request."""

import abc
import bisect

import sortedcontainers
import xxhash

from anvilwell_decisions.requests import loads
from anvilwell_decisions.requests import pool

# Number of random draws that may return excluded replicas before all replicas
# are searched for one that isn't excluded.
_MAX_DRAWS = 8
# Smallest share of its full load that a new replica gets.
_MIN_SLOW_START_SHARE = 0.1


class Policy(abc.ABC):
    """Chooses replicas of one service for one entry.

    Not thread-safe: the owner calls it from one thread or under a lock.

    Parameters
    ----------
    rng : random.Random
        Source of the random draws.
    """

    def __init__(self, rng):
        self._rng = rng
        self._pool = pool.Pool()
        self._loads = loads.Loads()

    def __len__(self):
        return len(self._pool)

    @property
    def replica_ids(self):
        """Ids of the replicas that the policy has, as a set."""
        return set(self._pool.facts_by_id)

    def replica_up(self, facts, now):
        """Add a replica, or update its facts."""
        self._pool.add_replica(facts)

    def replica_down(self, replica_id, now):
        """Stop sending requests to a replica; running ones continue."""
        self._pool.remove_replica(replica_id)
        self._loads.forget(replica_id)

    def report(self, report, now):
        """Record a replica's delayed `facts.LoadReport`."""
        if report.replica_id in self._pool.facts_by_id:
            self._loads.report(report)

    def started(self, replica_id, now):
        """Count an attempt that was sent to a replica."""
        self._loads.started(replica_id)

    def ended(self, attempt_end, now):
        """Count the end of an attempt (a `facts.AttemptEnd`)."""
        self._loads.ended(attempt_end.replica_id)

    @abc.abstractmethod
    def choose(self, request, now):
        """Return a replica's id for a `facts.RequestFacts`, or None."""

    def _draw(self, request):
        """Return a random eligible replica, or None."""
        eligible = self._pool.eligible(request)
        if not eligible:
            return None
        for _ in range(_MAX_DRAWS):
            replica_id = eligible.draw(self._rng)
            if replica_id not in request.excluded:
                return replica_id
        allowed = (r for r in eligible if r not in request.excluded)
        return next(allowed, None)


class RoundRobin(Policy):
    """Chooses the replicas in turn."""

    def __init__(self, rng):
        super().__init__(rng)
        self._next_index = rng.randrange(1 << 16)

    def choose(self, request, now):
        """Return the next eligible replica, or None."""
        eligible = self._pool.eligible(request)
        for _ in range(min(len(eligible), len(request.excluded) + 1)):
            self._next_index += 1
            replica_id = eligible.item_at(self._next_index)
            if replica_id not in request.excluded:
                return replica_id
        return None


class LeastReported(Policy):
    """Chooses the replica with the least load in its last report."""

    def __init__(self, rng):
        super().__init__(rng)
        self._keys_by_id = {}
        self._order = sortedcontainers.SortedList()

    def replica_up(self, facts, now):
        """Add a replica to the order by reported load."""
        super().replica_up(facts, now)
        self._insert(facts.replica_id)

    def replica_down(self, replica_id, now):
        """Remove a replica from the order by reported load."""
        super().replica_down(replica_id, now)
        self._remove(replica_id)

    def report(self, report, now):
        """Record a load report and update the replica's position."""
        super().report(report, now)
        if report.replica_id in self._pool.facts_by_id:
            self._insert(report.replica_id)

    def choose(self, request, now):
        """Return the least loaded eligible replica, or None."""
        if not self._pool.eligible(request):
            return None
        allowed = (
            replica_id
            for _, _, replica_id in self._order
            if self._pool.is_eligible(replica_id, request)
        )
        return next(allowed, None)

    def _insert(self, replica_id):
        self._remove(replica_id)
        load = self._loads.reported(replica_id)
        key = (load, self._rng.random(), replica_id)
        self._keys_by_id[replica_id] = key
        self._order.add(key)

    def _remove(self, replica_id):
        key = self._keys_by_id.pop(replica_id, None)
        if key is not None:
            self._order.remove(key)


class PowerOfTwo(Policy):
    """Chooses the less loaded of two replicas drawn at random.

    The load of a replica that was just added is scaled up, so that it gets
    fewer requests while it warms up.

    Parameters
    ----------
    slow_start_s : float
        Duration of the slow start of a new replica, in seconds.
    """

    def __init__(self, rng, *, slow_start_s=0.0):
        super().__init__(rng)
        self._slow_start_s = slow_start_s
        self._up_at_by_id = {}

    def replica_up(self, facts, now):
        """Add a replica; a new one begins its slow start."""
        if facts.replica_id not in self._pool.facts_by_id:
            self._up_at_by_id[facts.replica_id] = now
        super().replica_up(facts, now)

    def replica_down(self, replica_id, now):
        """Stop sending requests to a replica, and drop its slow start."""
        super().replica_down(replica_id, now)
        self._up_at_by_id.pop(replica_id, None)

    def choose(self, request, now):
        """Return the less loaded of two replicas drawn at random, or None."""
        first = self._draw(request)
        second = self._draw(request)
        if first == second:
            return first
        return min(first, second, key=lambda r: self._cost(r, now))

    def _cost(self, replica_id, now):
        load = self._loads.estimate(replica_id)
        return (load + 1) / self._slow_start_share(replica_id, now)

    def _slow_start_share(self, replica_id, now):
        """Return the share of its full load that a replica may get."""
        up_at = self._up_at_by_id.get(replica_id)
        if up_at is None:
            return 1.0
        age_s = now - up_at
        if age_s >= self._slow_start_s:
            del self._up_at_by_id[replica_id]
            return 1.0
        return max(_MIN_SLOW_START_SHARE, age_s / self._slow_start_s)


class PrefixAffinity(PowerOfTwo):
    """Sends a prompt prefix to the same few replicas, within a load bound.

    Prefixes and replicas are hashed to points on a ring. Of the next few
    replicas after the prefix, the first one whose load is within ``bound``
    times the mean is chosen. If there is none, the policy falls back to the
    power of two choices.

    Parameters
    ----------
    bound : float
        Load, as a multiple of the mean, up to which affinity applies.
    candidates : int
        How many replicas on the ring are tried.
    """

    POINTS_PER_REPLICA = 16

    def __init__(self, rng, *, bound=1.25, candidates=3, slow_start_s=0.0):
        super().__init__(rng, slow_start_s=slow_start_s)
        self._bound = bound
        self._candidates = candidates
        self._ring = []

    def replica_up(self, facts, now):
        """Add a replica and its points on the ring."""
        if facts.replica_id not in self._pool.facts_by_id:
            for point in self._points(facts.replica_id):
                bisect.insort(self._ring, point)
        super().replica_up(facts, now)

    def replica_down(self, replica_id, now):
        """Remove a replica and its points on the ring."""
        if replica_id in self._pool.facts_by_id:
            for point in self._points(replica_id):
                del self._ring[bisect.bisect_left(self._ring, point)]
        super().replica_down(replica_id, now)

    def choose(self, request, now):
        """Return a replica that probably has the prefix cached."""
        if request.prefix:
            for replica_id in self._ring_candidates(request):
                if self._is_within_bound(replica_id, now):
                    return replica_id
        return super().choose(request, now)

    def _is_within_bound(self, replica_id, now):
        mean = (self._loads.total_own + 1) / max(1, len(self._pool))
        allowed = self._bound * mean * self._slow_start_share(replica_id, now)
        return self._loads.own(replica_id) < allowed + 1

    def _ring_candidates(self, request):
        """Return the next eligible replicas on the ring after the prefix."""
        start = bisect.bisect_left(self._ring, (_point(request.prefix), ""))
        found = []
        steps = min(len(self._ring), 4 * self._candidates)
        for step in range(steps):
            _, replica_id = self._ring[(start + step) % len(self._ring)]
            if replica_id in found:
                continue
            if self._pool.is_eligible(replica_id, request):
                found.append(replica_id)
            if len(found) == self._candidates:
                break
        return found

    def _points(self, replica_id):
        return [
            (_point(replica_id, number), replica_id)
            for number in range(self.POINTS_PER_REPLICA)
        ]


def _point(name, seed=0):
    return xxhash.xxh3_64_intdigest(name.encode(), seed=seed)


class LeastOutstanding(Policy):
    """Chooses the replica with the least estimated load.

    The load includes the attempts that this entry has in flight. The policy
    compares all replicas of a service, so it is meant for services with few
    replicas, where it balances better than two draws. Ties are broken at
    random, so that entries do not all choose the same replica.
    """

    def choose(self, request, now):
        """Return the least loaded eligible replica, or None."""
        allowed = [
            replica_id
            for replica_id in self._pool.eligible(request)
            if replica_id not in request.excluded
        ]
        return min(allowed, key=self._cost, default=None)

    def _cost(self, replica_id):
        return (self._loads.estimate(replica_id), self._rng.random())
