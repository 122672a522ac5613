"""How long a trainer trains on a step."""

import collections

DURATIONS_KEPT = 2


class TrainingTime:
    """Learns the time between a whole step and the next collect.

    The least of the last two counts, so that a trainer that was away
    once isn't taken for a slow one.
    """

    def __init__(self):
        self.begun_at = 0.0
        self._is_on = False
        self._lasted_s = collections.deque(maxlen=DURATIONS_KEPT)

    @property
    def usual_s(self):
        """Seconds of training; 0 while none was seen."""
        return min(self._lasted_s, default=0.0)

    def begin(self, now):
        """Note that the trainer has a step whole."""
        self.begun_at = now
        self._is_on = True

    def end(self, now):
        """Note that the trainer collects again."""
        if self._is_on:
            self._lasted_s.append(now - self.begun_at)
            self._is_on = False
