"""How long replicas take for one live call: what lasts and what is wrong."""

import collections
import statistics

# Weight of the newest call in a replica's lasting pace.
_SMOOTHING = 0.03
# Paces closer to the median than this ratio count as it: requests differ.
EVEN_RATIO = 1.4
# A replica's pace is believed after so many answers.
LEAST_ANSWERS = 10
# A replica is degraded once so many answers in a row took this many times
# its lasting pace. One slow answer is one long request.
DEGRADED_ANSWERS = 4
DEGRADED_RATIO = 2.0
# A replica that was degraded is tried again after so long without answers.
DEGRADED_BELIEVED_S = 2.0


class _Pace:
    """What is known of one replica; times are in seconds."""

    def __init__(self):
        self.lasting_s = 0.0
        self.answers = 0
        self.newest = collections.deque(maxlen=DEGRADED_ANSWERS)
        self.answered_at = 0.0

    @property
    def is_known(self):
        """Whether enough answers tell of it."""
        return self.answers >= LEAST_ANSWERS

    @property
    def is_degraded(self):
        """Whether the newest answers all were slow."""
        bound_s = DEGRADED_RATIO * self.lasting_s
        return self.is_known and min(self.newest) > bound_s

    def add(self, took_s, now):
        """Take in one answer.

        A slow one counts as little as the bound until others follow; a
        replica that stays slow is called slow in the end.
        """
        self.newest.append(took_s)
        self.answered_at = now
        if self.is_known and not self.is_degraded:
            took_s = min(took_s, DEGRADED_RATIO * self.lasting_s)
        self.answers += 1
        weight = max(_SMOOTHING, 1 / self.answers)
        self.lasting_s += weight * (took_s - self.lasting_s)


class Paces:
    """Seconds that one call takes at each replica, if it need not wait.

    A replica that was never seen goes by the median of the others.
    """

    def __init__(self):
        self._paces_by_id = {}
        self._median_s = None

    def answered(self, replica_id, took_s, now):
        """Take in that a call took `took_s` without its wait."""
        known = self._paces_by_id.get(replica_id)
        if known is None:
            known = self._paces_by_id[replica_id] = _Pace()
        known.add(took_s, now)
        self._median_s = None

    def forget(self, replica_id):
        """Forget a replica that is gone."""
        if self._paces_by_id.pop(replica_id, None):
            self._median_s = None

    def expect_s(self, replica_id, now):
        """Return the seconds for one call, 1.0 if none was ever answered."""
        known = self._paces_by_id.get(replica_id)
        if known is None or not known.is_known:
            return self._median()
        is_recent = now - known.answered_at < DEGRADED_BELIEVED_S
        if known.is_degraded and is_recent:
            return statistics.median(known.newest)
        median_s = self._median()
        ratio = known.lasting_s / median_s
        is_even = 1 / EVEN_RATIO < ratio < EVEN_RATIO
        return median_s if is_even else known.lasting_s

    def _median(self):
        if self._median_s is None:
            lasting = [
                one.lasting_s
                for one in self._paces_by_id.values()
                if one.is_known
            ]
            self._median_s = statistics.median(lasting) if lasting else 1.0
        return self._median_s
