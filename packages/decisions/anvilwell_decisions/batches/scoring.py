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
PAUSE_S = 0.1
# Failed rounds wait twice as long each time, up to this.
LONGEST_PAUSE_S = 1.0
# Calls whose times are remembered, about those of one step.
TIMES_KEPT = 64
# A call's limit is so many times the slowest one remembered, so that only
# one that is lost runs into it, and at least so many target latencies.
SLOWEST_FACTOR = 3.0
LEAST_TARGETS = 2.0


class Pacer:
    """What one entry believes of one scoring service.

    The number of calls at once rises by one for each round of answers and
    is halved by a refusal, so that entries that share a service settle
    without knowing of each other.
    """

    def __init__(self):
        self.running = 0
        self._most = DEFAULT_SLOTS * SLOTS_SHARE
        self._window = self._most
        self._not_before = 0.0
        self._times = collections.deque(maxlen=TIMES_KEPT)

    def set_slots(self, slots):
        """Take how many calls all replicas of the service run at once."""
        most = max(1.0, (slots or DEFAULT_SLOTS) * SLOTS_SHARE)
        if self._window >= self._most:
            self._window = most
        self._most = most
        self._window = min(self._window, most)

    def has_room(self, now):
        """Return whether another call may start."""
        return self.running < int(self._window) and now >= self._not_before

    def limit_s(self, route):
        """Return how long a call on `route` may take, in seconds."""
        slowest = SLOWEST_FACTOR * max(self._times, default=0.0)
        least = LEAST_TARGETS * route.target_latency_s
        return min(route.timeout_s, max(least, slowest))

    def answered(self, took_s):
        """Take in the time of a call that brought a score."""
        self._times.append(took_s)
        grown = self._window + 1.0 / self._window
        self._window = min(self._most, grown)

    def refused(self, now):
        """Take in that every replica turned a call away."""
        self._window = max(1.0, self._window * REFUSED_SHARE)
        self._not_before = now + PAUSE_S


def pause_s(rounds):
    """Return how long an item waits after so many rounds without a score."""
    return min(LONGEST_PAUSE_S, PAUSE_S * 2 ** (rounds - 1))
