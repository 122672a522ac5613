"""How many events a run is expected to have left."""

import bisect
import collections
import itertools

# Lengths that are remembered of each kind of items.
MAX_LENGTHS = 512
# With fewer lengths above what a run has made, it is expected to have as much
# left as that: lengths have a long tail.
MIN_LENGTHS = 8


class LengthEstimator:
    """Learns the lengths of items by kind, such as their route's name.

    A caller's estimate is used as a scale: lengths are kept as multiples
    of the estimate where there is one. So an estimate that is right at the
    median but far off elsewhere is not trusted like one that is right
    throughout.
    """

    def __init__(self):
        self._lengths_by_key = collections.defaultdict(
            lambda: collections.deque(maxlen=MAX_LENGTHS)
        )
        self._tails_by_key = {}

    def observe(self, kind, expected_tokens, events):
        """Take in how many events a whole text has."""
        key, scale = _scaled(kind, expected_tokens)
        self._lengths_by_key[key].append(events / scale)
        self._tails_by_key.pop(key, None)

    def remaining_events(self, kind, expected_tokens, events_made):
        """Return how many more events are expected after `events_made`."""
        key, scale = _scaled(kind, expected_tokens)
        lengths, sums = self._tails(key)
        longer = len(lengths) - bisect.bisect_right(
            lengths, events_made / scale
        )
        if longer < MIN_LENGTHS:
            return max(1.0, events_made)
        return max(1.0, sums[longer] / longer * scale - events_made)

    def tokens_per_event(self, kind):
        """Return the tokens of one event, 0.0 if that is not known.

        Guesses are in tokens, and right at the median.
        """
        lengths, _ = self._tails((kind, True))
        if len(lengths) < MIN_LENGTHS:
            return 0.0
        return 1.0 / lengths[len(lengths) // 2]

    def _tails(self, key):
        """Return the lengths in order, and the sums of the longest ones."""
        if key not in self._tails_by_key:
            lengths = sorted(self._lengths_by_key.get(key, ()))
            sums = list(itertools.accumulate(reversed(lengths), initial=0.0))
            self._tails_by_key[key] = (lengths, sums)
        return self._tails_by_key[key]


def _scaled(kind, expected_tokens):
    """Return the key of a kind's lengths, and what they are multiples of."""
    return (kind, expected_tokens > 0), max(1, expected_tokens)
