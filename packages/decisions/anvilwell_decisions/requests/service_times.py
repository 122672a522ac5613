"""How long replicas take for one live call: what lasts and what is wrong."""

import collections
import statistics

# Weight of the newest call in a replica's lasting pace.
_SMOOTHING = 0.03
# Paces closer to the median than this ratio count as it: requests differ.
NEAR_MEDIAN_RATIO = 1.4
# A replica's pace is believed after so many answers.
MIN_ANSWERS = 10
# A replica is degraded once so many answers in a row took this many times
# its lasting pace. One slow answer is one long request.
DEGRADED_ANSWERS = 4
DEGRADED_RATIO = 2.0
# A replica that was degraded is tried again after so long without answers.
DEGRADED_TTL_S = 2.0


class _ServiceTime:
    """What is known of one replica; times are in seconds."""

    def __init__(self):
        self.baseline_s = 0.0
        self.answers = 0
        self.newest = collections.deque(maxlen=DEGRADED_ANSWERS)
        self.answered_at = 0.0

    @property
    def is_known(self):
        """Whether enough answers tell of it."""
        return self.answers >= MIN_ANSWERS

    @property
    def is_degraded(self):
        """Whether the newest answers all were slow."""
        degraded_s = DEGRADED_RATIO * self.baseline_s
        return self.is_known and min(self.newest) > degraded_s

    def add(self, duration_s, now):
        """Take in one answer.

        A slow one counts as little as the bound until others follow; a
        replica that stays slow is called slow in the end.
        """
        self.newest.append(duration_s)
        self.answered_at = now
        if self.is_known and not self.is_degraded:
            duration_s = min(duration_s, DEGRADED_RATIO * self.baseline_s)
        self.answers += 1
        weight = max(_SMOOTHING, 1 / self.answers)
        self.baseline_s += weight * (duration_s - self.baseline_s)


class ServiceTimes:
    """Seconds that one call takes at each replica, if it need not wait.

    A replica that was never seen goes by the median of the others.
    """

    def __init__(self):
        self._times_by_id = {}
        self._median_s = None

    def record(self, replica_id, duration_s, now):
        """Take in that a call took `took_s` without its wait."""
        known = self._times_by_id.get(replica_id)
        if known is None:
            known = self._times_by_id[replica_id] = _ServiceTime()
        known.add(duration_s, now)
        self._median_s = None

    def forget(self, replica_id):
        """Forget a replica that is gone."""
        if self._times_by_id.pop(replica_id, None):
            self._median_s = None

    def expected_s(self, replica_id, now):
        """Return the seconds for one call, 1.0 if none was ever answered."""
        known = self._times_by_id.get(replica_id)
        if known is None or not known.is_known:
            return self._median()
        is_recent = now - known.answered_at < DEGRADED_TTL_S
        if known.is_degraded and is_recent:
            return statistics.median(known.newest)
        median_s = self._median()
        ratio = known.baseline_s / median_s
        is_near_median = 1 / NEAR_MEDIAN_RATIO < ratio < NEAR_MEDIAN_RATIO
        return median_s if is_near_median else known.baseline_s

    def _median(self):
        if self._median_s is None:
            baselines_s = [
                each.baseline_s
                for each in self._times_by_id.values()
                if each.is_known
            ]
            self._median_s = (
                statistics.median(baselines_s) if baselines_s else 1.0
            )
        return self._median_s
