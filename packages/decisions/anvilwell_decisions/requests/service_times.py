"""Measured service times of live calls, per replica."""

import collections
import statistics

# Weight of the newest call in a replica's baseline.
_SMOOTHING = 0.03
# A baseline within this ratio of the median is treated as equal to it, as
# differences of that size come from the requests.
NEAR_MEDIAN_RATIO = 1.4
# Number of responses from which on a replica's baseline is used.
MIN_ANSWERS = 10
# A replica is degraded once `DEGRADED_ANSWERS` responses in a row took more
# than `DEGRADED_RATIO` times its baseline. A single slow response may just
# be a long request.
DEGRADED_ANSWERS = 4
DEGRADED_RATIO = 2.0
# Seconds without a response after which a degraded replica is tried again.
DEGRADED_TTL_S = 2.0


class _ServiceTime:
    """Measurements of one replica; times are in seconds."""

    def __init__(self):
        self.baseline_s = 0.0
        self.answers = 0
        self.newest = collections.deque(maxlen=DEGRADED_ANSWERS)
        self.answered_at = 0.0

    @property
    def is_known(self):
        """Whether there are enough responses for an estimate."""
        return self.answers >= MIN_ANSWERS

    @property
    def is_degraded(self):
        """Whether the newest `DEGRADED_ANSWERS` responses were all slow."""
        degraded_s = DEGRADED_RATIO * self.baseline_s
        return self.is_known and min(self.newest) > degraded_s

    def add(self, duration_s, now):
        """Record the duration of one response.

        A single slow response counts at most `DEGRADED_RATIO` times the
        baseline. Once several in a row are slow, they count in full, so that a
        replica that stays slow gets a higher baseline.
        """
        self.newest.append(duration_s)
        self.answered_at = now
        if self.is_known and not self.is_degraded:
            duration_s = min(duration_s, DEGRADED_RATIO * self.baseline_s)
        self.answers += 1
        weight = max(_SMOOTHING, 1 / self.answers)
        self.baseline_s += weight * (duration_s - self.baseline_s)


class ServiceTimes:
    """Expected duration of a call at each replica, without queueing.

    A replica without enough measurements is assumed to take the median of the
    others.
    """

    def __init__(self):
        self._times_by_id = {}
        self._median_s = None

    def record(self, replica_id, duration_s, now):
        """Record that a call took `duration_s`, without queueing."""
        known = self._times_by_id.get(replica_id)
        if known is None:
            known = self._times_by_id[replica_id] = _ServiceTime()
        known.add(duration_s, now)
        self._median_s = None

    def forget(self, replica_id):
        """Drop the measurements of a removed replica."""
        if self._times_by_id.pop(replica_id, None):
            self._median_s = None

    def expected_s(self, replica_id, now):
        """Return the expected duration of a call, 1.0 s if unmeasured."""
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
