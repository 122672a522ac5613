"""A budget of retries, and the jittered waits between them."""

import threading

_BACKOFF_FACTOR = 2.0


class RetryBudget:
    """Allows `rate` retries a second, saved up to `burst`.

    Parameters
    ----------
    rate : float
        Retries a second.
    burst : float
        Retries that may come at once.
    clock : clock.Clock
        Source of monotonic time.
    rng : random.Random
        Source of the jitter.
    first_wait_s, longest_wait_s : float
        Bounds of the wait before a retry, in seconds.
    """

    def __init__(
        self, rate, burst, clock, rng, *, first_wait_s=0.05, longest_wait_s=1.0
    ):
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._rng = rng
        self._first_wait_s = first_wait_s
        self._longest_wait_s = longest_wait_s
        self._level = burst
        self._filled = clock.monotonic()
        self._lock = threading.Lock()

    def take(self):
        """Take one retry; return whether there was one left."""
        with self._lock:
            now = self._clock.monotonic()
            gained = (now - self._filled) * self._rate
            self._level = min(self._burst, self._level + gained)
            self._filled = now
            if self._level < 1.0:
                return False
            self._level -= 1.0
            return True

    def wait_s(self, tries):
        """Return the wait after `tries` failed tries, with full jitter."""
        doubled = self._first_wait_s * _BACKOFF_FACTOR ** (tries - 1)
        return self._rng.uniform(0.0, min(doubled, self._longest_wait_s))
