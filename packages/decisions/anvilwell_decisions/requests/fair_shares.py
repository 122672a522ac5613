"""Shares the places of a service that is short of them by organisation."""

import collections

from anvilwell_decisions.requests import priority_weights

# A service is short once so many of its replicas, as a share, have refused
# for want of room within `REFUSAL_MEMORY_S`. One that refuses without cause
# is no shortage.
OVERLOAD_SHARE = 0.5
REFUSAL_TTL_S = 1.0
# The limit shrinks by this with each refusal of a service that is short;
# each answer makes it grow, by one in as many answers as it allows.
BACKOFF = 0.95
# A limit that has kept nobody back for so long, in seconds, is dropped.
LIMIT_TTL_S = 2.0


class FairShares:
    """What each organisation has under way at one service, at one entry.

    While the service is short, an organisation may have as much under way
    as the limit leaves free, times the weight of its rank, and always one
    call. So those of a rank that send much hold equal parts, and there is
    room left for the others, whose number need not be known. Memory is an
    integer for each organisation that has a call under way. Times are in
    seconds of one clock.
    """

    def __init__(self):
        self._in_flight_by_organisation = collections.Counter()
        self._refused_at_by_replica = {}
        self._limit = None
        self._limit_applied_at = 0.0

    @property
    def limit(self):
        """How much may be under way here, None for no limit."""
        return self._limit

    @property
    def total(self):
        """How much is under way here."""
        return self._in_flight_by_organisation.total()

    def begin(self, organisation, now, weight=priority_weights.MAX_WEIGHT):
        """Count a new call and return True, or False if it is too much.

        ``weight`` is that of the call's rank, see `precedence`.
        """
        if self._limit and now - self._limit_applied_at > LIMIT_TTL_S:
            self._limit = None
        if self._limit and not self._is_within_share(organisation, weight):
            self._limit_applied_at = now
            return False
        self._in_flight_by_organisation[organisation] += 1
        return True

    def _is_within_share(self, organisation, weight):
        held = self._in_flight_by_organisation[organisation]
        return not held or held < weight * (self._limit - self.total)

    def end(self, organisation, is_answered):
        """Take a call off that `begin` counted."""
        self._in_flight_by_organisation[organisation] -= 1
        if not self._in_flight_by_organisation[organisation]:
            del self._in_flight_by_organisation[organisation]
        if is_answered and self._limit:
            self._limit += 1 / self._limit

    def refused(self, replica_id, replica_count, now):
        """Take in that one of so many `replicas` refused for want of room."""
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
