"""The replica at which a live call is expected to end first."""

from anvilwell_decisions.requests import observations
from anvilwell_decisions.requests import paces
from anvilwell_decisions.requests import routing

# How many replicas are compared for one call. Entries that all look at all
# replicas go to the same one until its next answer tells them.
DRAWN = 16
# Some replicas slow down as they fill: a call beside a full replica's
# others is taken to need this much longer than one alone.
CROWDING = 0.25


class ExpectedWait(routing.LeastOutstanding):
    """Takes the least expected time among some replicas drawn at random.

    It follows from the pace of the replica, from how contended its
    machine is, and from what runs and waits there: as the newest answer
    told, with the calls that this entry has sent since. Until a replica
    tells how contended it is, the least load of all decides.

    Parameters
    ----------
    rng : random.Random
        Source of the draws.
    drawn : int
        How many replicas are compared.
    """

    def __init__(self, rng, drawn=DRAWN):
        super().__init__(rng)
        self._drawn = drawn
        self._paces = paces.Paces()
        self._observations = observations.Observations()
        self._queued_at_by_id = {}
        self._is_contention_told = False

    def replica_down(self, replica_id, now):
        """Forget a replica; one that returns is another life of it."""
        super().replica_down(replica_id, now)
        self._paces.forget(replica_id)
        self._observations.forget(replica_id)
        self._queued_at_by_id.pop(replica_id, None)

    def report(self, report, now):
        """Take in what a replica's answer told of its load."""
        replica_id = report.replica_id
        is_known = replica_id in self._pool.facts_by_id
        if report.contention is None or not is_known:
            super().report(report, now)
            return
        self._is_contention_told = True
        # The answer's own request is under way until it has ended.
        own = max(report.own, self._loads.own(replica_id))
        super().report(report._replace(own=own), now)
        if report.in_flight > report.limit:
            self._queued_at_by_id[replica_id] = now
        observed = observations.Observation(
            report.in_flight, 0, report.limit, report.contention
        )
        self._observations.heard(replica_id, observed, now)

    def ended(self, ended, now):
        """Count the end of an attempt, and learn from a whole answer.

        Where requests wait, an answer's time says little of its replica.
        """
        replica_id = ended.replica_id
        is_sound = ended.is_answer and not ended.failed
        began_at = now - ended.latency_s
        if is_sound and not self._has_queued(replica_id, began_at):
            contention = self._observations.contention(replica_id, now)
            alone_s = ended.latency_s / contention
            self._paces.answered(replica_id, alone_s, now)
        super().ended(ended, now)

    def _has_queued(self, replica_id, since):
        """Return whether requests may have waited at a replica `since`."""
        queued_at = self._queued_at_by_id.get(replica_id, float("-inf"))
        return since - queued_at < observations.COUNTS_BELIEVED_S

    def choose(self, request, now):
        """Return the replica that may take `request` soonest, or None."""
        if not self._is_contention_told:
            return super().choose(request, now)
        return min(
            self._compared(request),
            key=lambda one: (self.expect_s(one, now), self._rng.random()),
            default=None,
        )

    def _compared(self, request):
        """Return the replicas that may take `request`, or some of many."""
        eligible = self._pool.eligible(request)
        if len(eligible) <= self._drawn:
            return [one for one in eligible if one not in request.excluded]
        drawn = {self._draw(request) for _ in range(self._drawn)}
        return drawn - {None}

    def expect_s(self, replica_id, now):
        """Return the seconds that one more call would take at a replica."""
        return (
            self._paces.expect_s(replica_id, now)
            * self._observations.contention(replica_id, now)
            * self._rounds(replica_id, now)
        )

    def _rounds(self, replica_id, now):
        """Return how many times one call's time one more call takes."""
        there = self._loads.estimate(replica_id)
        slots = self._observations.slots(replica_id) or 1
        waits = max(0, there + 1 - slots) / slots
        return 1.0 + CROWDING * min(1.0, there / slots) + waits
