"""Limits the number and duration of an entry's scoring calls to a service."""

import collections

# Share of a service's slots that the scoring calls of one entry may use. Texts
# are completed in bursts, which then need scores. The other half stays free
# for live calls to the same service, which have priority.
SLOTS_SHARE = 0.5
# Number of slots assumed for a service that doesn't state its slots: as many
# as one small replica has.
DEFAULT_SLOTS = 6
# After a refusal the limit of concurrent calls is multiplied by
# `REFUSED_SHARE`, and no call starts for `REFUSED_PAUSE_S` seconds, in which a
# full replica frees a slot.
REFUSED_SHARE = 0.5
REFUSED_PAUSE_S = 0.1
# Longest delay before an item without a score is scored again, in seconds. The
# delay doubles with each failed round of scoring calls for the item.
MAX_RETRY_DELAY_S = 1.0
# Number of scoring calls whose durations are remembered, about as many as one
# training step has.
MAX_TIMES = 64
# The timeout of a call is this many times the slowest duration remembered, so
# that only lost calls reach it, and at least `MIN_TARGET_LATENCIES` times the
# target latency of the route.
SLOWEST_FACTOR = 3.0
MIN_TARGET_LATENCIES = 2.0


class ScoringLimiter:
    """Limits the concurrent calls of one entry to one scoring service.

    The limit rises by one for each round of answered calls and is halved by a
    refusal. So entries that share a service settle on a share each without
    coordinating.
    """

    def __init__(self):
        self.running = 0
        self._max_window = DEFAULT_SLOTS * SLOTS_SHARE
        self._window = self._max_window
        self._not_before = 0.0
        self._times = collections.deque(maxlen=MAX_TIMES)

    def set_slots(self, slots):
        """Set how many calls all replicas of the service can run at once."""
        max_window = max(1.0, (slots or DEFAULT_SLOTS) * SLOTS_SHARE)
        if self._window >= self._max_window:
            self._window = max_window
        self._max_window = max_window
        self._window = min(self._window, max_window)

    def may_start(self, now):
        """Return whether another scoring call may start."""
        return self.running < int(self._window) and now >= self._not_before

    def limit_s(self, route):
        """Return the timeout of a call on `route`, in seconds."""
        slowest = SLOWEST_FACTOR * max(self._times, default=0.0)
        shortest = MIN_TARGET_LATENCIES * route.target_latency_s
        return min(route.timeout_s, max(shortest, slowest))

    def record_score(self, took_s):
        """Record the duration of a call that returned a score."""
        self._times.append(took_s)
        grown = self._window + 1.0 / self._window
        self._window = min(self._max_window, grown)

    def record_refusal(self, now):
        """Record that every replica refused a call."""
        self._window = max(1.0, self._window * REFUSED_SHARE)
        self._not_before = now + REFUSED_PAUSE_S


def retry_delay_s(rounds):
    """Return how long an item waits after `rounds` rounds without a score."""
    return min(MAX_RETRY_DELAY_S, REFUSED_PAUSE_S * 2 ** (rounds - 1))
