"""When callers that were refused for want of room may come back."""

import math

# The first caller that is refused may come back after so long, in seconds:
# several times what a call takes.
MIN_WAIT_S = 0.25
# Answers of this long ago count half as much for how fast a service drains.
HALF_LIFE_S = 1.0
# Callers honour a wait of up to this part of the time that they have left.
MAX_SHARE_OF_TIME_LEFT = 1 / 3
# Beyond this a wait is no use to callers that want an answer soon.
MAX_WAIT_S = 2.0


class RetrySchedule:
    """Gives the callers that one entry refuses their turns at one service.

    They come back one after the other, as fast as the service has answered
    this entry's calls lately, and so in the order in which they came. Three
    numbers are kept, however many wait. Times are in seconds.
    """

    def __init__(self):
        self._recent_answers = 0.0
        self._decayed_at = 0.0
        self._last_return_at = float("-inf")

    def answered(self, now):
        """Take in that the service answered a call."""
        self._decay(now)
        self._recent_answers += 1.0

    def answers_per_s(self, now):
        """Return how many calls a second the service answers, about."""
        self._decay(now)
        return self._recent_answers * math.log(2) / HALF_LIFE_S

    def _decay(self, now):
        age_s = now - self._decayed_at
        self._recent_answers *= 0.5 ** (age_s / HALF_LIFE_S)
        self._decayed_at = now

    def wait_s(self, now, time_left_s):
        """Return after how long a refused caller may come back.

        Parameters
        ----------
        now : float
            When it is refused.
        left_s : float
            How long the caller can still wait. One whose turn would come
            too late is told the longest wait that it honours.
        """
        answers_per_s = self.answers_per_s(now)
        interval_s = 1 / answers_per_s if answers_per_s else MIN_WAIT_S
        return_at = max(now + MIN_WAIT_S, self._last_return_at + interval_s)
        self._last_return_at = min(return_at, now + MAX_WAIT_S)
        return min(
            self._last_return_at - now, MAX_SHARE_OF_TIME_LEFT * time_left_s
        )
