"""Detects replicas that generate tokens much slower than the others."""

import collections
import statistics

# Length of a window in seconds.
WINDOW_S = 10.0
SLOW_WINDOWS = 2
SLOW_SHARE = 0.5


class SlowReplicaDetector:
    """Compares the token counts of the replicas' streams in each window.

    A replica is slow once its streams generated less than `SLOW_SHARE` of
    the median replica's tokens in `SLOW_WINDOWS` windows in a row. One
    window is not enough, so that a pause to load weights doesn't count.
    """

    def __init__(self):
        self._since = None
        self._tokens_by_attempt = {}
        self._slow_windows_by_id = {}

    def update(self, tokens_by_attempt, replicas_by_attempt, now):
        """Update all streams' token counts and return the slow replicas.

        Parameters
        ----------
        tokens_by_attempt : dict of int to int
            Tokens of each stream so far.
        replicas_by_attempt : dict of int to str
            The replica of each running attempt.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        set of str
            The slow replicas; empty until the window has ended.
        """
        if self._since is not None and now - self._since < WINDOW_S:
            return set()
        gains_by_id = collections.defaultdict(list)
        for attempt, before in self._tokens_by_attempt.items():
            if attempt in tokens_by_attempt and attempt in replicas_by_attempt:
                gain = tokens_by_attempt[attempt] - before
                gains_by_id[replicas_by_attempt[attempt]].append(gain)
        self._since = now
        self._tokens_by_attempt = dict(tokens_by_attempt)
        return self._compare(gains_by_id)

    def _compare(self, gains_by_id):
        speeds_by_id = {
            replica_id: statistics.median(gains)
            for replica_id, gains in gains_by_id.items()
        }
        usual = statistics.median(speeds_by_id.values() or [0])
        self._slow_windows_by_id = {
            replica_id: self._slow_windows_by_id.get(replica_id, 0) + 1
            for replica_id, speed in speeds_by_id.items()
            if speed < SLOW_SHARE * usual
        }
        return {
            replica_id
            for replica_id, windows in self._slow_windows_by_id.items()
            if windows >= SLOW_WINDOWS
        }
