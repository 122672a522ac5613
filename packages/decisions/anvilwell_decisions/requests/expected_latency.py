"""Routes each live call to the replica with the least expected latency."""

from anvilwell_decisions.requests import routing
from anvilwell_decisions.requests import server_loads
from anvilwell_decisions.requests import service_times

# How many replicas are compared for one call. If every entry compared all
# replicas, all would choose the same one until its next response reports
# the higher load.
CANDIDATES = 16
# Some replicas slow down as their slots fill: a call at a replica without free
# slots is expected to take longer by this share than a call that runs alone.
CONCURRENCY_PENALTY = 0.25


class LeastExpectedLatency(routing.LeastOutstanding):
    """Chooses the least expected latency among replicas drawn at random.

    The expected latency is the replica's uncontended service time, multiplied
    by the contention of its machine and by a factor for the requests that run
    and wait there. The load comes from the newest response, plus the calls
    that this entry has sent since. Until any replica has reported contention,
    the policy chooses the least loaded replica.

    Parameters
    ----------
    rng : random.Random
        Source of the draws.
    candidates : int
        How many replicas to compare for one call.
    """

    def __init__(self, rng, candidates=CANDIDATES):
        super().__init__(rng)
        self._candidate_count = candidates
        self._service_times = service_times.ServiceTimes()
        self._server_loads = server_loads.ServerLoads()
        self._queued_at_by_id = {}
        self._is_contention_reported = False

    def replica_down(self, replica_id, now):
        """Remove a replica and what was learned about it.

        A replica that returns is a new incarnation and starts afresh.
        """
        super().replica_down(replica_id, now)
        self._service_times.forget(replica_id)
        self._server_loads.forget(replica_id)
        self._queued_at_by_id.pop(replica_id, None)

    def report(self, report, now):
        """Record the load that a replica reported with a response."""
        replica_id = report.replica_id
        is_known = replica_id in self._pool.facts_by_id
        if report.contention is None or not is_known:
            super().report(report, now)
            return
        self._is_contention_reported = True
        # The attempt that got this response counts as in flight until it ends.
        own = max(report.own, self._loads.own(replica_id))
        super().report(report._replace(own=own), now)
        if report.in_flight > report.limit:
            self._queued_at_by_id[replica_id] = now
        load = server_loads.ServerLoad(
            report.in_flight, 0, report.limit, report.contention
        )
        self._server_loads.record(replica_id, load, now)

    def ended(self, attempt_end, now):
        """Record the end of an attempt and learn from a complete response.

        Latencies are ignored while requests wait at the replica, as they then
        include queueing time.
        """
        replica_id = attempt_end.replica_id
        is_usable = attempt_end.is_answer and not attempt_end.failed
        started_at = now - attempt_end.latency_s
        if is_usable and not self._has_queued(replica_id, started_at):
            contention = self._server_loads.contention(replica_id, now)
            uncontended_s = attempt_end.latency_s / contention
            self._service_times.record(replica_id, uncontended_s, now)
        super().ended(attempt_end, now)

    def _has_queued(self, replica_id, since):
        """Return whether requests may have waited at a replica `since`."""
        queued_at = self._queued_at_by_id.get(replica_id, float("-inf"))
        return since - queued_at < server_loads.COUNTS_TTL_S

    def choose(self, request, now):
        """Return the replica expected to answer `request` first, or None."""
        if not self._is_contention_reported:
            return super().choose(request, now)
        return min(
            self._candidates(request),
            key=lambda replica_id: (
                self.expected_s(replica_id, now),
                self._rng.random(),
            ),
            default=None,
        )

    def _candidates(self, request):
        """Return all eligible replicas, or a random sample if many."""
        eligible = self._pool.eligible(request)
        if len(eligible) <= self._candidate_count:
            return [
                replica_id
                for replica_id in eligible
                if replica_id not in request.excluded
            ]
        candidates = {
            self._draw(request) for _ in range(self._candidate_count)
        }
        return candidates - {None}

    def expected_s(self, replica_id, now):
        """Return the expected latency of one more call, in seconds."""
        return (
            self._service_times.expected_s(replica_id, now)
            * self._server_loads.contention(replica_id, now)
            * self._load_factor(replica_id, now)
        )

    def _load_factor(self, replica_id, now):
        """Return the factor by which a replica's load lengthens a new call.

        A call that runs beside others takes longer by a share of up to
        `CONCURRENCY_PENALTY`. A call that finds no free slot also waits for
        the calls before it, counted in rounds of as many calls as slots.
        """
        in_flight = self._in_flight(replica_id, now)
        slots = self._server_loads.slots(replica_id) or 1
        extra_rounds = max(0, in_flight + 1 - slots) / slots
        return (
            1.0
            + CONCURRENCY_PENALTY * min(1.0, in_flight / slots)
            + extra_rounds
        )

    def _in_flight(self, replica_id, now):
        """Return the estimated number of requests at a replica."""
        return self._loads.estimate(replica_id)
