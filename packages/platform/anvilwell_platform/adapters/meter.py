"""Counts the calls to the key-value service."""

import collections
import threading

from opentelemetry import metrics

_METER = metrics.get_meter("anvilwell")
CALLS = _METER.create_counter(
    "anvilwell_key_value_calls",
    unit="1",
    description="Calls to the key-value service by purpose and kind",
)
WATCHES = _METER.create_up_down_counter(
    "anvilwell_key_value_watches",
    unit="1",
    description="Watches that wait on the key-value service by purpose",
)


class CallMeter:
    """Counts calls by purpose and kind; ``read``, ``write``, ``watch``."""

    def __init__(self):
        self._counts_by_purpose_and_kind = collections.Counter()
        self._lock = threading.Lock()

    def count(self, purpose, kind):
        """Count one call."""
        CALLS.add(1, {"purpose": str(purpose), "kind": kind})
        with self._lock:
            self._counts_by_purpose_and_kind[str(purpose), kind] += 1

    def watching(self, purpose, change):
        """Count a watch that begins (1) or ends (-1) to wait."""
        WATCHES.add(change, {"purpose": str(purpose)})
        with self._lock:
            self._counts_by_purpose_and_kind[str(purpose), "waiting"] += change

    def counts(self):
        """Return the counts so far, by purpose and kind."""
        with self._lock:
            return dict(self._counts_by_purpose_and_kind)
