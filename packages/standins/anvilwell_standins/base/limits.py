"""Limits of a stand-in, and the refusals when they are reached."""

import threading

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons


class RateLimited(exceptions.AnvilwellError):
    """The call came too soon; nothing was done."""

    reason = reasons.Refusal.RATE_LIMITED
    status = 429


class TooManyStreams(exceptions.AnvilwellError):
    """More streams than there are threads for; nothing was done."""

    reason = reasons.Refusal.QUEUE_FULL
    status = 429


class TokenBucket:
    """Allows `rate` calls a second and bursts of `burst`.

    Parameters
    ----------
    rate : float
        Calls a second; 0 allows every call.
    burst : float
        Calls that may come at once.
    clock : clock.Clock
        Source of monotonic time.
    """

    def __init__(self, rate, burst, clock):
        self.rate = rate
        self.burst = max(burst, 1.0)
        self._clock = clock
        self._level = self.burst
        self._filled = clock.monotonic()
        self._lock = threading.Lock()

    def take(self):
        """Take one call; return 0, or the seconds until one is free."""
        with self._lock:
            if not self.rate:
                return 0.0
            now = self._clock.monotonic()
            gained = (now - self._filled) * self.rate
            self._level = min(self.burst, self._level + gained)
            self._filled = now
            if self._level < 1.0:
                return (1.0 - self._level) / self.rate
            self._level -= 1.0
            return 0.0
