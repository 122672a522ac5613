"""Divides the capacity of an overloaded service between organisations."""

import collections

from anvilwell_decisions.requests import priority_weights

# A service is overloaded once this share of its replicas have refused calls
# for lack of capacity within `REFUSAL_TTL_S` seconds. A single replica that
# refuses calls without cause is not an overload.
OVERLOAD_SHARE = 0.5
REFUSAL_TTL_S = 1.0
# Each refusal during an overload multiplies the limit by this factor. Each
# answered call raises it by 1 / limit, that is by one per full round.
BACKOFF = 0.95
# A limit that has refused no call for this many seconds is dropped.
LIMIT_TTL_S = 2.0


class FairShares:
    """Limits the calls in flight of each organisation at one service.

    Each entry limits its own calls. While the service is overloaded, an
    organisation may have as many calls in flight as the limit leaves free,
    times the weight of the call's priority, and always at least one.
    Organisations of equal priority that send many calls thus hold equal
    shares, and capacity remains for the others, whose number need not be
    known. The state is one integer for each organisation with a call in
    flight. Times are in seconds of one clock.
    """

    def __init__(self):
        self._in_flight_by_organisation = collections.Counter()
        self._refused_at_by_replica = {}
        self._limit = None
        self._limit_applied_at = 0.0

    @property
    def limit(self):
        """How many calls this entry may have in flight, None for no limit."""
        return self._limit

    @property
    def total(self):
        """How many calls of all organisations are in flight."""
        return self._in_flight_by_organisation.total()

    def begin(self, organisation, now, weight=priority_weights.MAX_WEIGHT):
        """Count a new call and return True, or return False to refuse it.

        ``weight`` is the weight of the call's priority, see
        `priority_weights`.
        """
        if self._limit and now - self._limit_applied_at > LIMIT_TTL_S:
            self._limit = None
        if self._limit and not self._is_within_share(organisation, weight):
            self._limit_applied_at = now
            return False
        self._in_flight_by_organisation[organisation] += 1
        return True

    def _is_within_share(self, organisation, weight):
        """Return whether an organisation may have another call in flight."""
        held = self._in_flight_by_organisation[organisation]
        return not held or held < weight * (self._limit - self.total)

    def end(self, organisation, is_answered):
        """Remove a call that `begin` counted."""
        self._in_flight_by_organisation[organisation] -= 1
        if not self._in_flight_by_organisation[organisation]:
            del self._in_flight_by_organisation[organisation]
        if is_answered and self._limit:
            self._limit += 1 / self._limit

    def refused(self, replica_id, replica_count, now):
        """Record that one of `replica_count` replicas was full for a call."""
        self._refused_at_by_replica = {
            each_id: at
            for each_id, at in self._refused_at_by_replica.items()
            if now - at < REFUSAL_TTL_S
        }
        self._refused_at_by_replica[replica_id] = now
        if len(self._refused_at_by_replica) < OVERLOAD_SHARE * replica_count:
            return
        previous_limit = self.total if self._limit is None else self._limit
        self._limit = max(1.0, BACKOFF * min(previous_limit, self.total))
        self._limit_applied_at = now
