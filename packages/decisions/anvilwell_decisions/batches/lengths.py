"""Estimates how many events a run has left."""

import bisect
import collections
import itertools

# Number of text lengths that are remembered for each kind of items.
MAX_LENGTHS = 512
# An estimate needs at least this many remembered texts that are longer than
# the text of the run. With fewer, the run is expected to add as many events
# as its text has already, since lengths have a long tail.
MIN_LENGTHS = 8


class LengthEstimator:
    """Learns the lengths of items by kind, such as the name of their route.

    The caller's estimate of the length, if there is one, is used as a scale:
    lengths are stored as multiples of it. The spread of these multiples shows
    how reliable the estimates are: their median may be right while single
    estimates are far off.
    """

    def __init__(self):
        self._lengths_by_key = collections.defaultdict(
            lambda: collections.deque(maxlen=MAX_LENGTHS)
        )
        self._tails_by_key = {}

    def observe(self, kind, expected_tokens, events):
        """Record the number of events of an item's complete text."""
        key, scale = _scaled(kind, expected_tokens)
        self._lengths_by_key[key].append(events / scale)
        self._tails_by_key.pop(key, None)

    def remaining_events(self, kind, expected_tokens, events_made):
        """Return how many events a run is expected to add to `events_made`."""
        key, scale = _scaled(kind, expected_tokens)
        lengths, sums = self._tails(key)
        longer = len(lengths) - bisect.bisect_right(
            lengths, events_made / scale
        )
        if longer < MIN_LENGTHS:
            return max(1.0, events_made)
        return max(1.0, sums[longer] / longer * scale - events_made)

    def tokens_per_event(self, kind):
        """Return the number of tokens in one event, 0.0 if unknown.

        It is derived from the callers' estimates, which are in tokens and
        whose median is right.
        """
        lengths, _ = self._tails((kind, True))
        if len(lengths) < MIN_LENGTHS:
            return 0.0
        return 1.0 / lengths[len(lengths) // 2]

    def _tails(self, key):
        """Return the sorted lengths, and by n the sum of the n longest."""
        if key not in self._tails_by_key:
            lengths = sorted(self._lengths_by_key.get(key, ()))
            sums = list(itertools.accumulate(reversed(lengths), initial=0.0))
            self._tails_by_key[key] = (lengths, sums)
        return self._tails_by_key[key]


def _scaled(kind, expected_tokens):
    """Return the key for the lengths of a kind of items, and their scale."""
    return (kind, expected_tokens > 0), max(1, expected_tokens)
