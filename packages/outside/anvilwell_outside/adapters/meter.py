"""Counts the calls to the key-value service."""

import collections
import threading


class CallMeter:
    """Counts calls by purpose and kind (``read``, ``write`` or ``watch``).

    Kind ``waiting`` is the number of watches that are open now. These are
    the calls sent over the network, counted for tests and benchmarks; the
    metrics page shows the counters of the daemon's own facade instead.
    """

    def __init__(self):
        self._counts_by_purpose_and_kind = collections.Counter()
        self._lock = threading.Lock()

    def count(self, purpose, kind):
        """Count one call."""
        with self._lock:
            self._counts_by_purpose_and_kind[str(purpose), kind] += 1

    def count_waiting(self, purpose, change):
        """Add `change` to the open watches: 1 for a new one, -1 at its end."""
        with self._lock:
            self._counts_by_purpose_and_kind[str(purpose), "waiting"] += change

    def counts(self):
        """Return the counts by purpose and kind."""
        with self._lock:
            return dict(self._counts_by_purpose_and_kind)
