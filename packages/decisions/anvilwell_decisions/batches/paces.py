"""How fast a replica makes events: what lasts and what passes."""

import bisect
import collections
import statistics
import typing

from anvilwell_decisions.requests import server_loads

# The pace now is the median of so many gaps between events. A pause of
# all runs at once, as for new weights, is few gaps and does not count.
RECENT_GAPS = 16
# Gaps after which a pace is believed.
MIN_GAPS = 8
# The pace now is judged once in so many gaps, as that takes a while.
GAPS_PER_CHECK = 4
# The usual pace is the median of so many gaps outside of slow spells.
USUAL_GAPS = 256
# A slow spell begins above, and ends below, so many times the usual pace.
SLOW_RATIO = 1.6
RECOVERED_RATIO = 1.3
# A replica that tells that it is slower than this is not believed.
MAX_CONTENTION = 10.0
# Lengths of slow spells that a service's replicas remember.
MAX_SLOWDOWNS = 256
# With fewer lengths above its age, a spell is expected to last as long
# again as it has.
MIN_SLOWDOWNS = 4
# A spell that has just begun is expected to last so long, as little more
# is known of it than that it outlived the gaps that showed it.
MIN_SLOWDOWN_S = 0.1
# A replica whose runs made no event for so long tells nothing of when they
# end.
SILENT_S = 0.3
# A pace that was never confirmed for so long may be another's by now.
MAX_USUAL_AGE_S = 60.0


class Slowdowns:
    """How long the slow spells of a service's replicas lasted."""

    def __init__(self):
        self._lengths = collections.deque(maxlen=MAX_SLOWDOWNS)
        self._sorted = []

    def record(self, length_s):
        """Take in the length of a spell that was seen to end."""
        self._lengths.append(length_s)
        self._sorted = sorted(self._lengths)

    def remaining_s(self, age_s):
        """Return how much longer a spell of this age is expected to be."""
        first = bisect.bisect_right(self._sorted, age_s)
        longer = self._sorted[first:]
        if len(longer) < MIN_SLOWDOWNS:
            return max(MIN_SLOWDOWN_S, age_s)
        return max(MIN_SLOWDOWN_S, statistics.fmean(longer) - age_s)


class _Gap(typing.NamedTuple):
    """The time between two events of a run, and when it ended."""

    at: float
    gap_s: float


class _Slowdown(typing.NamedTuple):
    """A time in which a replica is slow, as it was last seen."""

    began_at: float
    seen_at: float
    pace_s: float


class Pace:
    """The pace of one replica, in seconds for an event.

    It keeps apart what lasts (the ``usual`` pace) and what may pass (a
    spell, whose length is judged by those seen so far).

    Parameters
    ----------
    spells : Spells
        Those of the replica's service.
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
        """Take in the time between two events of one run."""
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
        """Forget all that is known of a replica that was idle for long."""
        self._recent.clear()
        self._usual_gaps.clear()
        self._usual_s = None
        self._gaps_since_check = 0
        self._slowdown = None

    def record_load(self, load, now):
        """Take in an `server_loads.ServerLoad` of the replica itself.

        Contention only begins a spell before that shows: the runs' own
        events say whether it is one, and for how long.
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
        """Return the pace that lasts, or None if it is not known."""
        is_old = now - self._seen_at > MAX_USUAL_AGE_S
        if is_old or len(self._usual_gaps) < MIN_GAPS:
            return None
        if self._usual_s is None:
            self._usual_s = statistics.median(self._usual_gaps)
        return self._usual_s

    def is_silent(self, now):
        """Return whether nothing came for long, or nothing is known."""
        usual_s = self.usual_s(now)
        return usual_s is None or now - self._seen_at > max(
            SILENT_S, MIN_GAPS * usual_s
        )

    def expected_s(self, events, now):
        """Return how long so many events will take, None if unknown."""
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
        """Begin or end a spell, by the pace of the last gaps."""
        usual_s = self.usual_s(now)
        if self._slowdown is None:
            if pace_s > SLOW_RATIO * usual_s:
                self._begin_slowdown(pace_s, now)
            elif pace_s * SLOW_RATIO < usual_s:
                # Nothing is faster than it can be: the usual pace was
                # learnt in a spell.
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
        """Begin a spell; its first gaps are taken back from the usual."""
        slow = len(self._recent) // 2 + 1
        for _ in range(min(slow, len(self._usual_gaps) - MIN_GAPS)):
            self._usual_gaps.pop()
        self._usual_s = None
        first = self._recent[-slow]
        self._slowdown = _Slowdown(first.at - first.gap_s, now, pace_s)

    def _remaining_s(self, now):
        return self._slowdowns.remaining_s(now - self._slowdown.began_at)

    def _forget_slowdown(self, now):
        """Forget a spell that nothing has shown for as long as it had left.

        How long it lasted is not known, and it counts as no length.
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
