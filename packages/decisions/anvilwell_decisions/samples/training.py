"""How long a trainer trains on a step."""

import collections

KEPT = 2


class Training:
    """Learns the time between a whole step and the next collect.

    The least of the last two counts, so that a trainer that was away
    once isn't taken for a slow one.
    """

    def __init__(self):
        self.since = 0.0
        self._is_on = False
        self._lasted_s = collections.deque(maxlen=KEPT)

    @property
    def usual_s(self):
        """Seconds of training; 0 while none was seen."""
        return min(self._lasted_s, default=0.0)

    def begin(self, now):
        """Note that the trainer has a step whole."""
        self.since = now
        self._is_on = True

    def end(self, now):
        """Note that the trainer collects again."""
        if self._is_on:
            self._lasted_s.append(now - self.since)
            self._is_on = False
