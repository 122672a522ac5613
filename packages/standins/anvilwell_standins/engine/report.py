"""What an engine reports of its load, with a lag."""

import collections
import threading
import time
import typing

import prometheus_client
from prometheus_client import exposition

_SAMPLE_S = 0.02


class Load(typing.NamedTuple):
    """The load at one moment."""

    running: int
    waiting: int
    cache_share: float
    version: str


class LoadReport:
    """A Prometheus page of the load as it was `lag_s` ago.

    Parameters
    ----------
    measure : callable
        Returns the `Load` of now.
    lag_s : float
        Age of what is reported, in seconds.
    """

    def __init__(self, measure, lag_s=0.0):
        self._measure = measure
        self._lag_s = lag_s
        self._history = collections.deque()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)

    def start(self):
        """Begin to sample, if there is a lag."""
        if self._lag_s:
            self._history.append((time.monotonic(), self._measure()))
            self._thread.start()

    def stop(self):
        """Stop to sample."""
        self._stopped.set()

    def load(self):
        """Return the `Load` that is reported now."""
        if not self._lag_s:
            return self._measure()
        until = time.monotonic() - self._lag_s
        while len(self._history) > 1 and self._history[1][0] <= until:
            self._history.popleft()
        return self._history[0][1]

    def page(self):
        """Return the Prometheus page in bytes."""
        load = self.load()
        registry = prometheus_client.CollectorRegistry()
        gauges = (
            ("engine_requests_running", load.running),
            ("engine_requests_waiting", load.waiting),
            ("engine_cache_share", load.cache_share),
        )
        for name, value in gauges:
            prometheus_client.Gauge(name, name, registry=registry).set(value)
        version = prometheus_client.Gauge(
            "engine_version_info",
            "Active weight version",
            ("version",),
            registry=registry,
        )
        version.labels(load.version).set(1)
        return exposition.generate_latest(registry)

    def _sample(self):
        while not self._stopped.wait(_SAMPLE_S):
            self._history.append((time.monotonic(), self._measure()))
