"""Routes live calls to near replicas over connections that are open."""

import collections

from anvilwell_decisions.requests import expected_latency
from anvilwell_decisions.requests import server_loads
from anvilwell_decisions.traffic import regions

# Typical time of a message and its reply, in seconds.
ROUND_TRIP_S_BY_DISTANCE = {
    regions.Distance.SAME_DOMAIN: 0.0002,
    regions.Distance.SAME_REGION: 0.003,
    regions.Distance.OTHER_REGION: 0.016,
}
# Expected times within this ratio of the shortest one count as alike. Calls
# beside others take longer by up to this share, so a replica counts as busy
# once its slots are nearly full.
ALIKE_RATIO = 1.25
# Share of its slots from which a replica is busy. The near replicas would
# otherwise fill up while others have free slots, and calls would wait there.
BUSY_SHARE = 0.5
# How long replicas keep idle connections at least, less the margin, in
# seconds.
KEPT_IDLE_S = 3.0
# Number of calls from which an entry's rate of calls is known.
RATE_CALLS = 8
# How long a replica that failed a call gets no further rare calls while there
# are others, in seconds. Outlier ejection is too short for rare calls: it
# starts with the third failure, and ends before the next call.
FAILURE_PAUSE_S = 10.0


class NearReplicas(expected_latency.LeastExpectedLatency):
    """Prefers replicas with an idle connection, then the assigned ones.

    The preference applies among replicas whose expected times are alike, and
    only while calls are rare: with more calls, all connections stay in use
    and the shortest expected time alone decides. Replicas in another region
    are used only if none in the own region is as fast.

    Parameters
    ----------
    rng : random.Random
        Source of the draws.
    regions : regions.Regions
        Says how far away the replicas are.
    idle_count : callable
        Returns the number of usable idle connections to a replica id.
    assigned : callable
        Returns the ids of the replicas assigned to this entry, the preferred
        one first.
    """

    def __init__(self, rng, regions, idle_count, assigned):
        super().__init__(rng)
        self._regions = regions
        self._idle_count = idle_count
        self._assigned = assigned
        # The newest calls, as request id and time.
        self._calls = collections.deque(maxlen=RATE_CALLS)
        self._failed_at_by_id = {}

    def choose(self, request, now):
        """Return the replica for `request`, or None."""
        self._count_call(request, now)
        times_by_id = {
            replica_id: self.expected_s(replica_id, now)
            for replica_id in self._candidates(request)
        }
        ratio = 1.0
        if self.has_rare_calls(now):
            ratio = ALIKE_RATIO
            times_by_id = self._without_failing(times_by_id, now)
        longest_s = ratio * min(times_by_id.values(), default=0.0)
        assigned = self._assigned()
        ranks_by_id = {replica_id: n for n, replica_id in enumerate(assigned)}
        return min(
            (
                replica_id
                for replica_id, expected_s in times_by_id.items()
                if expected_s <= longest_s
            ),
            key=lambda replica_id: (
                self._distance(replica_id) is regions.Distance.OTHER_REGION,
                not self._idle_count(replica_id),
                ranks_by_id.get(replica_id, len(ranks_by_id)),
                times_by_id[replica_id],
                self._rng.random(),
            ),
            default=None,
        )

    def _count_call(self, request, now):
        """Count a call once, though it may be tried at several replicas.

        Replicas may also be excluded from its first attempt.
        """
        request_id = request.request_id
        if not request.excluded or all(
            request_id != counted_id for counted_id, _ in self._calls
        ):
            self._calls.append((request_id, now))

    def _without_failing(self, times_by_id, now):
        """Leave out replicas that have just failed, unless all have."""
        kept = {
            replica_id: expected_s
            for replica_id, expected_s in times_by_id.items()
            if not self._has_failed(replica_id, now)
        }
        return kept or times_by_id

    def _has_failed(self, replica_id, now):
        failed_at = self._failed_at_by_id.get(replica_id, float("-inf"))
        return now - failed_at < FAILURE_PAUSE_S

    def has_rare_calls(self, now):
        """Return whether connections to all replicas would expire unused."""
        if len(self._calls) < RATE_CALLS:
            return True
        _, oldest_at = self._calls[0]
        calls_per_s = RATE_CALLS / max(1e-9, now - oldest_at)
        return calls_per_s * KEPT_IDLE_S < len(self)

    def expected_s(self, replica_id, now):
        """Return the expected latency, with the time of the network.

        A busy replica counts as one in another region.
        """
        round_trip_s = self._round_trip_s(replica_id)
        if self._is_busy(replica_id, now):
            round_trip_s = max(ROUND_TRIP_S_BY_DISTANCE.values())
        round_trips = 1 if self._idle_count(replica_id) else 2
        return super().expected_s(replica_id, now) + round_trips * round_trip_s

    def _is_busy(self, replica_id, now):
        slots = self._server_loads.slots(replica_id) or 1
        return self._in_flight(replica_id, now) >= BUSY_SHARE * slots

    def _in_flight(self, replica_id, now):
        """Return the requests at a replica; old reports are ignored.

        An entry with rare calls would otherwise avoid a replica for long
        because of calls that have ended.
        """
        if self._server_loads.counts(replica_id, now) is None:
            return self._loads.own(replica_id)
        return self._loads.estimate(replica_id)

    def report(self, report, now):
        """Record a reported load, also if it is without contention."""
        if report.contention is None and report.limit:
            report = report._replace(contention=server_loads.NO_CONTENTION)
        super().report(report, now)

    def ended(self, attempt_end, now):
        """Learn the replica's own time, without that of the network."""
        round_trip_s = self._round_trip_s(attempt_end.replica_id)
        latency_s = max(0.0, attempt_end.latency_s - round_trip_s)
        super().ended(attempt_end._replace(latency_s=latency_s), now)
        if attempt_end.failed:
            self._failed_at_by_id = {
                replica_id: failed_at
                for replica_id, failed_at in self._failed_at_by_id.items()
                if self._has_failed(replica_id, now)
            } | {attempt_end.replica_id: now}
        elif attempt_end.is_answer:
            self._failed_at_by_id.pop(attempt_end.replica_id, None)

    def _candidates(self, request):
        """Return the replicas to compare, including the assigned ones."""
        assigned = {
            replica_id
            for replica_id in self._assigned()
            if self._pool.is_eligible(replica_id, request)
        }
        return assigned.union(super()._candidates(request))

    def _distance(self, replica_id):
        facts = self._pool.facts_by_id.get(replica_id)
        return self._regions.distance(facts.failure_domain if facts else "")

    def _round_trip_s(self, replica_id):
        return ROUND_TRIP_S_BY_DISTANCE[self._distance(replica_id)]
