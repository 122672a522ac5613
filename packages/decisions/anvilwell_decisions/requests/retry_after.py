"""Retry delays for callers that were refused for lack of capacity."""

import math

# Shortest delay of a refused caller, in seconds. It is several times the
# duration of a call.
MIN_WAIT_S = 0.25
# Time after which an answered call counts half in the measured rate of
# answers, in seconds.
HALF_LIFE_S = 1.0
# Callers honour a delay of up to this share of the time that they have left.
MAX_SHARE_OF_TIME_LEFT = 1 / 3
# Longest delay, in seconds. Longer ones are useless to callers that need an
# answer soon.
MAX_WAIT_S = 2.0


class RetrySchedule:
    """Schedules the return of callers that one entry refused, for one service.

    They return one after another, at the rate at which the service recently
    answered this entry's calls, and so in the order of their refusals. The
    state is three numbers, however many callers wait. Times are in seconds.
    """

    def __init__(self):
        self._recent_answers = 0.0
        self._decayed_at = 0.0
        self._last_return_at = float("-inf")

    def answered(self, now):
        """Record that the service answered a call."""
        self._decay(now)
        self._recent_answers += 1.0

    def answers_per_s(self, now):
        """Return the recent rate of answered calls, per second."""
        self._decay(now)
        return self._recent_answers * math.log(2) / HALF_LIFE_S

    def _decay(self, now):
        """Reduce the weight of earlier answers to their weight at `now`."""
        age_s = now - self._decayed_at
        self._recent_answers *= 0.5 ** (age_s / HALF_LIFE_S)
        self._decayed_at = now

    def wait_s(self, now, time_left_s):
        """Return the delay before a refused caller may return, in seconds.

        Parameters
        ----------
        now : float
            When the caller is refused.
        time_left_s : float
            How long the caller can still wait. If its turn would come too
            late, it gets the longest delay that callers honour.
        """
        answers_per_s = self.answers_per_s(now)
        interval_s = 1 / answers_per_s if answers_per_s else MIN_WAIT_S
        return_at = max(now + MIN_WAIT_S, self._last_return_at + interval_s)
        self._last_return_at = min(return_at, now + MAX_WAIT_S)
        return min(
            self._last_return_at - now, MAX_SHARE_OF_TIME_LEFT * time_left_s
        )
