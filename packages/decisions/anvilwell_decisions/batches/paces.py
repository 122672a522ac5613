"""Measures how fast a replica makes events, in and outside of slowdowns."""

import bisect
import collections
import statistics
import typing

from anvilwell_decisions.requests import server_loads

# The current pace is the median of this many gaps between events. A pause of
# all runs at once, as when weights are loaded, makes only a few long gaps and
# doesn't affect the median.
RECENT_GAPS = 16
# Least number of measured gaps from which a replica's pace is computed.
MIN_GAPS = 8
# The current pace is computed again after this many new gaps and not after
# each one, since the computation takes a while.
GAPS_PER_CHECK = 4
# The usual pace is the median of this many gaps measured outside of slowdowns.
USUAL_GAPS = 256
# A slowdown begins above `SLOW_RATIO` times the usual pace and ends below
# `RECOVERED_RATIO` times it.
SLOW_RATIO = 1.6
RECOVERED_RATIO = 1.3
# Upper limit for the contention that a replica reports, as a multiple of its
# usual time per event; larger values are reduced to this limit.
MAX_CONTENTION = 10.0
# Number of past slowdowns of a service whose durations are remembered.
MAX_SLOWDOWNS = 256
# An estimate needs at least this many remembered slowdowns that lasted longer
# than the present one has lasted so far. With fewer, the present one is
# expected to last as much longer as it has lasted so far.
MIN_SLOWDOWNS = 4
# Lower limit of the estimated remaining time of a slowdown, in seconds. Of a
# slowdown that has just begun it is only known that it has lasted longer than
# the gaps between events by which it was detected.
MIN_SLOWDOWN_S = 0.1
# If the runs of a replica have produced no event for this many seconds, the
# estimates of when they end are no longer used.
SILENT_S = 0.3
# A usual pace that was not confirmed for this long, in seconds, is dropped,
# since the pace may have changed by now.
MAX_USUAL_AGE_S = 60.0


class Slowdowns:
    """Durations of the past slowdowns of a service's replicas."""

    def __init__(self):
        self._lengths = collections.deque(maxlen=MAX_SLOWDOWNS)
        self._sorted = []

    def record(self, length_s):
        """Record the duration of a slowdown whose end was observed."""
        self._lengths.append(length_s)
        self._sorted = sorted(self._lengths)

    def remaining_s(self, age_s):
        """Return how much longer a slowdown of age `age_s` should last."""
        first = bisect.bisect_right(self._sorted, age_s)
        longer = self._sorted[first:]
        if len(longer) < MIN_SLOWDOWNS:
            return max(MIN_SLOWDOWN_S, age_s)
        return max(MIN_SLOWDOWN_S, statistics.fmean(longer) - age_s)


class _Gap(typing.NamedTuple):
    """The time between two events of a run, and when the second one came."""

    at: float
    gap_s: float


class _Slowdown(typing.NamedTuple):
    """A slowdown in progress, as of the time it was last observed."""

    began_at: float
    seen_at: float
    pace_s: float


class Pace:
    """The pace of one replica, in seconds per event.

    The usual pace is kept apart from slowdowns, whose remaining time is
    estimated from the durations of earlier ones.

    Parameters
    ----------
    slowdowns : Slowdowns
        Durations of the slowdowns of the replica's service.
    """

    def __init__(self, slowdowns):
        self._slowdowns = slowdowns
        self._recent = collections.deque(maxlen=RECENT_GAPS)
        self._usual_gaps = collections.deque(maxlen=USUAL_GAPS)
        self._seen_at = float("-inf")
        self._usual_s = None
        self._gaps_since_check = 0
        self._slowdown = None

    def record_gap(self, gap_s, now):
        """Record the time between two events of one run."""
        if now - self._seen_at > MAX_USUAL_AGE_S:
            self._reset()
        self._forget_slowdown(now)
        self._seen_at = now
        self._recent.append(_Gap(now, gap_s))
        if self._slowdown is None:
            self._usual_gaps.append(gap_s)
        self._gaps_since_check += 1
        is_due = self._gaps_since_check >= GAPS_PER_CHECK
        if is_due and len(self._recent) >= MIN_GAPS:
            self._gaps_since_check = 0
            self._usual_s = None
            pace_s = statistics.median(gap.gap_s for gap in self._recent)
            self._classify(pace_s, now)

    def _reset(self):
        """Drop all measurements of a replica that was idle for long."""
        self._recent.clear()
        self._usual_gaps.clear()
        self._usual_s = None
        self._gaps_since_check = 0
        self._slowdown = None

    def record_load(self, load, now):
        """Process a `server_loads.ServerLoad` reported by the replica.

        A slowdown is assumed to begin as soon as the replica reports strong
        contention, before the gaps between events show it. Later gaps decide
        whether there is a slowdown, and for how long.
        """
        ratio = load.contention or server_loads.NO_CONTENTION
        usual_s = self.usual_s(now)
        self._forget_slowdown(now)
        if usual_s and self._slowdown is None and ratio > SLOW_RATIO:
            self._recent.clear()
            self._slowdown = _Slowdown(
                now, now, min(ratio, MAX_CONTENTION) * usual_s
            )

    def usual_s(self, now):
        """Return the pace outside of slowdowns, or None if it is unknown."""
        is_old = now - self._seen_at > MAX_USUAL_AGE_S
        if is_old or len(self._usual_gaps) < MIN_GAPS:
            return None
        if self._usual_s is None:
            self._usual_s = statistics.median(self._usual_gaps)
        return self._usual_s

    def is_silent(self, now):
        """Return whether no event came for long, or the pace is unknown."""
        usual_s = self.usual_s(now)
        return usual_s is None or now - self._seen_at > max(
            SILENT_S, MIN_GAPS * usual_s
        )

    def expected_s(self, events, now):
        """Return the time that `events` events will take, None if unknown."""
        usual_s = self.usual_s(now)
        if usual_s is None:
            return None
        self._forget_slowdown(now)
        if self._slowdown is None:
            return events * usual_s
        left_s = self._remaining_s(now)
        slow_events = min(events, left_s / self._slowdown.pace_s)
        return (
            slow_events * self._slowdown.pace_s
            + (events - slow_events) * usual_s
        )

    def _classify(self, pace_s, now):
        """Begin, extend or end a slowdown, given the median of recent gaps."""
        usual_s = self.usual_s(now)
        if self._slowdown is None:
            if pace_s > SLOW_RATIO * usual_s:
                self._begin_slowdown(pace_s, now)
            elif pace_s * SLOW_RATIO < usual_s:
                # A replica can't be faster than its usual pace. So the usual
                # pace was measured during a slowdown; measure it again.
                self._usual_gaps.clear()
                self._usual_gaps.extend(gap.gap_s for gap in self._recent)
                self._usual_s = None
        elif pace_s < RECOVERED_RATIO * usual_s:
            self._slowdowns.record(now - self._slowdown.began_at)
            self._slowdown = None
        else:
            self._slowdown = self._slowdown._replace(
                seen_at=now, pace_s=pace_s
            )

    def _begin_slowdown(self, pace_s, now):
        """Begin a slowdown; its first gaps no longer count as usual ones."""
        slow = len(self._recent) // 2 + 1
        for _ in range(min(slow, len(self._usual_gaps) - MIN_GAPS)):
            self._usual_gaps.pop()
        self._usual_s = None
        first = self._recent[-slow]
        self._slowdown = _Slowdown(first.at - first.gap_s, now, pace_s)

    def _remaining_s(self, now):
        return self._slowdowns.remaining_s(now - self._slowdown.began_at)

    def _forget_slowdown(self, now):
        """Drop a slowdown that was not observed for its expected duration.

        Its duration is unknown and is not recorded.
        """
        if self._slowdown is None:
            return
        slowdown = self._slowdown
        left_s = self._slowdowns.remaining_s(
            slowdown.seen_at - slowdown.began_at
        )
        if now - slowdown.seen_at > max(left_s, MIN_GAPS * slowdown.pace_s):
            self._slowdown = None
            self._recent.clear()
