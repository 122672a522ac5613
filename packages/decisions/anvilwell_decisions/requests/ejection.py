"""Temporarily removes failing replicas from routing (outlier ejection)."""

import heapq
import typing

from anvilwell_decisions.requests import pool
from anvilwell_decisions.requests import routing


class EjectionSettings(typing.NamedTuple):
    """Settings of `OutlierEjection`.

    A replica is ejected after ``failures`` consecutive failures, for
    ``base_s`` seconds; the time doubles with each repeated ejection, up to
    ``max_s``. At most ``max_share`` of the replicas are ejected at a time.
    """

    failures: int = 3
    base_s: float = 2.0
    max_s: float = 30.0
    max_share: float = 0.34


class OutlierEjection(routing.Policy):
    """Hides failing replicas from the policy that it wraps.

    Some replicas always remain: only a limited share is ejected at a time,
    and a request that only ejected replicas can serve goes to one of them.
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
        """Ids of the replicas that are ejected now, sorted."""
        return sorted(self._ejected_pool.facts_by_id)

    def replica_up(self, facts, now):
        """Add or update a replica; an ejected one stays ejected."""
        super().replica_up(facts, now)
        if facts.replica_id in self._ejected_pool.facts_by_id:
            self._ejected_pool.add_replica(facts)
        else:
            self._inner.replica_up(facts, now)

    def replica_down(self, replica_id, now):
        """Remove a replica and its failure counts."""
        super().replica_down(replica_id, now)
        self._ejected_pool.remove_replica(replica_id)
        self._failures_by_id.pop(replica_id, None)
        self._ejections_by_id.pop(replica_id, None)
        self._inner.replica_down(replica_id, now)

    def report(self, report, now):
        """Pass a load report to the wrapped policy."""
        self._inner.report(report, now)

    def started(self, replica_id, now):
        """Pass the start of an attempt to the wrapped policy."""
        self._inner.started(replica_id, now)

    def ended(self, attempt_end, now):
        """Count consecutive failures; eject the replica at the limit."""
        self._inner.ended(attempt_end, now)
        replica_id = attempt_end.replica_id
        if not attempt_end.failed:
            self._failures_by_id.pop(replica_id, None)
            self._ejections_by_id.pop(replica_id, None)
            return
        failures = self._failures_by_id.get(replica_id, 0) + 1
        self._failures_by_id[replica_id] = failures
        if failures >= self._settings.failures:
            self._eject(replica_id, now)

    def choose(self, request, now):
        """Choose an active replica, or an ejected one if there is none."""
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
                # A single further failure ejects the replica again.
                self._failures_by_id[replica_id] = self._settings.failures - 1
                self._inner.replica_up(facts, now)
