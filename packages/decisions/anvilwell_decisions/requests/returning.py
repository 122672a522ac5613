"""When callers that were refused for want of room may come back."""

import math

# The first caller that is refused may come back after so long, in seconds:
# several times what a call takes.
FIRST_S = 0.25
# Answers of this long ago count half as much for how fast a service drains.
HALF_LIFE_S = 1.0
# Callers honour a wait of up to this part of the time that they have left.
HONOURED_SHARE = 1 / 3
# Beyond this a wait is no use to callers that want an answer soon.
LONGEST_S = 2.0


class Returns:
    """Gives the callers that one entry refuses their turns at one service.

    They come back one after the other, as fast as the service has answered
    this entry's calls lately, and so in the order in which they came. Three
    numbers are kept, however many wait. Times are in seconds.
    """

    def __init__(self):
        self._answers = 0.0
        self._counted_at = 0.0
        self._last_turn = float("-inf")

    def answered(self, now):
        """Take in that the service answered a call."""
        self._decay(now)
        self._answers += 1.0

    def rate(self, now):
        """Return how many calls a second the service answers, about."""
        self._decay(now)
        return self._answers * math.log(2) / HALF_LIFE_S

    def _decay(self, now):
        age_s = now - self._counted_at
        self._answers *= 0.5 ** (age_s / HALF_LIFE_S)
        self._counted_at = now

    def wait_s(self, now, left_s):
        """Return after how long a refused caller may come back.

        Parameters
        ----------
        now : float
            When it is refused.
        left_s : float
            How long the caller can still wait. One whose turn would come
            too late is told the longest wait that it honours.
        """
        rate = self.rate(now)
        step_s = 1 / rate if rate else FIRST_S
        turn = max(now + FIRST_S, self._last_turn + step_s)
        self._last_turn = min(turn, now + LONGEST_S)
        return min(self._last_turn - now, HONOURED_SHARE * left_s)
