"""Measures how long a trainer trains on a step."""

import collections

# Durations that the expected training time is computed from.
DURATIONS_KEPT = 2


class TrainingTime:
    """Measures the time from a step's delivery to the next collect.

    The shorter of the last two durations is used, so that a trainer that
    was away once isn't treated as a slow one.
    """

    def __init__(self):
        self.begun_at = 0.0
        self._is_on = False
        self._lasted_s = collections.deque(maxlen=DURATIONS_KEPT)

    @property
    def usual_s(self):
        """Expected training time in seconds; 0 before any measurement."""
        return min(self._lasted_s, default=0.0)

    def begin(self, now):
        """Record that the trainer received a complete step."""
        self.begun_at = now
        self._is_on = True

    def end(self, now):
        """Record that the trainer collects again."""
        if self._is_on:
            self._lasted_s.append(now - self.begun_at)
            self._is_on = False
