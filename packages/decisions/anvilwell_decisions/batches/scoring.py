"""How many scoring calls a service gets at once, and for how long."""

import collections

# Share of a service's slots that the scoring calls of one entry may take.
# Texts end in bursts of some fifty; live calls to the same service go
# first, and find the other half free.
SLOTS_SHARE = 0.5
# For services that state no slots: as many as one small replica has.
DEFAULT_SLOTS = 6
# After a refusal half as many calls go at once, and none for so long: a
# full replica frees a slot about every 15 ms.
REFUSED_SHARE = 0.5
REFUSED_PAUSE_S = 0.1
# Failed rounds wait twice as long each time, up to this.
MAX_RETRY_DELAY_S = 1.0
# Calls whose times are remembered, about those of one step.
MAX_TIMES = 64
# A call's limit is so many times the slowest one remembered, so that only
# one that is lost runs into it, and at least so many target latencies.
SLOWEST_FACTOR = 3.0
MIN_TARGET_LATENCIES = 2.0


class ScoringLimiter:
    """What one entry believes of one scoring service.

    The number of calls at once rises by one for each round of answers and
    is halved by a refusal, so that entries that share a service settle
    without knowing of each other.
    """

    def __init__(self):
        self.running = 0
        self._max_window = DEFAULT_SLOTS * SLOTS_SHARE
        self._window = self._max_window
        self._not_before = 0.0
        self._times = collections.deque(maxlen=MAX_TIMES)

    def set_slots(self, slots):
        """Take how many calls all replicas of the service run at once."""
        max_window = max(1.0, (slots or DEFAULT_SLOTS) * SLOTS_SHARE)
        if self._window >= self._max_window:
            self._window = max_window
        self._max_window = max_window
        self._window = min(self._window, max_window)

    def may_start(self, now):
        """Return whether another call may start."""
        return self.running < int(self._window) and now >= self._not_before

    def limit_s(self, route):
        """Return how long a call on `route` may take, in seconds."""
        slowest = SLOWEST_FACTOR * max(self._times, default=0.0)
        shortest = MIN_TARGET_LATENCIES * route.target_latency_s
        return min(route.timeout_s, max(shortest, slowest))

    def record_score(self, took_s):
        """Take in the time of a call that brought a score."""
        self._times.append(took_s)
        grown = self._window + 1.0 / self._window
        self._window = min(self._max_window, grown)

    def record_refusal(self, now):
        """Take in that every replica turned a call away."""
        self._window = max(1.0, self._window * REFUSED_SHARE)
        self._not_before = now + REFUSED_PAUSE_S


def retry_delay_s(rounds):
    """Return how long an item waits after so many rounds without a score."""
    return min(MAX_RETRY_DELAY_S, REFUSED_PAUSE_S * 2 ** (rounds - 1))
