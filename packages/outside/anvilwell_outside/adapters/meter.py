"""Counts the calls to the key-value service."""

import collections
import threading


class CallMeter:
    """Counts calls by purpose and kind; ``read``, ``write``, ``watch``.

    It counts what goes out on the network, for tests and benches; the
    metrics page has the counters of the daemon's own facade.
    """

    def __init__(self):
        self._counts_by_purpose_and_kind = collections.Counter()
        self._lock = threading.Lock()

    def count(self, purpose, kind):
        """Count one call."""
        with self._lock:
            self._counts_by_purpose_and_kind[str(purpose), kind] += 1

    def count_waiting(self, purpose, change):
        """Count a watch that begins (1) or ends (-1) to wait."""
        with self._lock:
            self._counts_by_purpose_and_kind[str(purpose), "waiting"] += change

    def counts(self):
        """Return the counts so far, by purpose and kind."""
        with self._lock:
            return dict(self._counts_by_purpose_and_kind)
