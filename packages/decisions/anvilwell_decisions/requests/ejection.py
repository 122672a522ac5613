"""Takes replicas that fail out of routing for a while."""

import heapq
import typing

from anvilwell_decisions.requests import pool
from anvilwell_decisions.requests import routing


class EjectionSettings(typing.NamedTuple):
    """Settings of ejection.

    A replica is out after ``failures`` failures in a row, for
    ``base_s`` seconds, twice as long each time up to ``longest_s``.
    At most ``most_share`` of the replicas are out at a time.
    """

    failures: int = 3
    base_s: float = 2.0
    max_s: float = 30.0
    max_share: float = 0.34


class OutlierEjection(routing.Policy):
    """Wraps a policy and hides replicas that fail from it.

    It can't empty the set: no more than a share of the replicas is out,
    and a request that only replicas that are out can take is given to
    one of them.
    """

    def __init__(self, rng, inner, settings=None):
        super().__init__(rng)
        self._inner = inner
        self._settings = settings or EjectionSettings()
        self._ejected_pool = pool.Pool()
        self._readmissions = []
        self._failures_by_id = {}
        self._ejections_by_id = {}

    @property
    def ejected(self):
        """Ids of the replicas that are out now."""
        return sorted(self._ejected_pool.facts_by_id)

    def replica_up(self, facts, now):
        """Take in a replica; one that is out stays out."""
        super().replica_up(facts, now)
        if facts.replica_id in self._ejected_pool.facts_by_id:
            self._ejected_pool.add_replica(facts)
        else:
            self._inner.replica_up(facts, now)

    def replica_down(self, replica_id, now):
        """Forget a replica and its failures."""
        super().replica_down(replica_id, now)
        self._ejected_pool.remove_replica(replica_id)
        self._failures_by_id.pop(replica_id, None)
        self._ejections_by_id.pop(replica_id, None)
        self._inner.replica_down(replica_id, now)

    def report(self, report, now):
        """Pass a report on."""
        self._inner.report(report, now)

    def started(self, replica_id, now):
        """Pass the start of an attempt on."""
        self._inner.started(replica_id, now)

    def ended(self, ended, now):
        """Count failures in a row; eject on too many."""
        self._inner.ended(ended, now)
        replica_id = ended.replica_id
        if not ended.failed:
            self._failures_by_id.pop(replica_id, None)
            self._ejections_by_id.pop(replica_id, None)
            return
        failures = self._failures_by_id.get(replica_id, 0) + 1
        self._failures_by_id[replica_id] = failures
        if failures >= self._settings.failures:
            self._eject(replica_id, now)

    def choose(self, request, now):
        """Choose among those that are in, else among those out."""
        self._readmit_due(now)
        chosen = self._inner.choose(request, now)
        if chosen is not None:
            return chosen
        allowed = (
            replica_id
            for replica_id in self._ejected_pool.eligible(request)
            if replica_id not in request.excluded
        )
        return next(allowed, None)

    def _eject(self, replica_id, now):
        facts = self._pool.facts_by_id.get(replica_id)
        is_ejected = replica_id in self._ejected_pool.facts_by_id
        if facts is None or is_ejected or not self._can_eject_more():
            return
        previous_ejections = self._ejections_by_id.get(replica_id, 0)
        self._ejections_by_id[replica_id] = previous_ejections + 1
        settings = self._settings
        ejected_s = min(
            settings.max_s, settings.base_s * 2**previous_ejections
        )
        self._ejected_pool.add_replica(facts)
        self._inner.replica_down(replica_id, now)
        heapq.heappush(self._readmissions, (now + ejected_s, replica_id))

    def _can_eject_more(self):
        max_ejected = int(len(self._pool) * self._settings.max_share)
        return len(self._ejected_pool) < max_ejected

    def _readmit_due(self, now):
        while self._readmissions and self._readmissions[0][0] <= now:
            _, replica_id = heapq.heappop(self._readmissions)
            facts = self._ejected_pool.remove_replica(replica_id)
            if facts is not None:
                # One more failure is enough to eject it again.
                self._failures_by_id[replica_id] = self._settings.failures - 1
                self._inner.replica_up(facts, now)
