"""How many events a run is expected to have left."""

import bisect
import collections
import itertools

# Lengths that are remembered of each kind of items.
LENGTHS_KEPT = 512
# With fewer lengths above what a run has made, it is expected to have as
# much left as that: lengths have a long tail.
LEAST_LENGTHS = 8


class Lengths:
    """Learns the lengths of items by kind, such as their route's name.

    A caller's guess is taken as a scale: lengths are kept as multiples of
    it where it is known, so a guess that is right at the median and far
    off elsewhere is told from one that is right.
    """

    def __init__(self):
        self._kept_by_key = collections.defaultdict(
            lambda: collections.deque(maxlen=LENGTHS_KEPT)
        )
        self._tails_by_key = {}

    def observe(self, kind, guess, events):
        """Take in how many events a whole text has."""
        key, scale = _scaled(kind, guess)
        self._kept_by_key[key].append(events / scale)
        self._tails_by_key.pop(key, None)

    def left(self, kind, guess, made):
        """Return how many more events are expected after `made`."""
        key, scale = _scaled(kind, guess)
        lengths, sums = self._tails(key)
        longer = len(lengths) - bisect.bisect_right(lengths, made / scale)
        if longer < LEAST_LENGTHS:
            return max(1.0, made)
        return max(1.0, sums[longer] / longer * scale - made)

    def tokens_an_event(self, kind):
        """Return the tokens of one event, 0.0 if that is not known.

        Guesses are in tokens, and right at the median.
        """
        lengths, _ = self._tails((kind, True))
        if len(lengths) < LEAST_LENGTHS:
            return 0.0
        return 1.0 / lengths[len(lengths) // 2]

    def _tails(self, key):
        """Return the lengths in order, and the sums of the longest ones."""
        if key not in self._tails_by_key:
            lengths = sorted(self._kept_by_key.get(key, ()))
            sums = list(itertools.accumulate(reversed(lengths), initial=0.0))
            self._tails_by_key[key] = (lengths, sums)
        return self._tails_by_key[key]


def _scaled(kind, guess):
    """Return the key of a kind's lengths, and what they are multiples of."""
    return (kind, guess > 0), max(1, guess)
