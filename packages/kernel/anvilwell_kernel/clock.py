"""Clocks that are passed as arguments, so that tests can set the time."""

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic time and wall-clock time, both in seconds."""

    @abc.abstractmethod
    def monotonic(self):
        """Return monotonic time; only differences are meaningful."""

    @abc.abstractmethod
    def wall(self):
        """Return seconds since the epoch; for display, never for logic."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def monotonic(self):
        """Return the boot-time clock, which also runs during VM suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self):
        """Return seconds since the epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock for tests that moves only when `advance` is called."""

    def __init__(self, now=0.0):
        self.now = now

    def monotonic(self):
        """Return the time that was set."""
        return self.now

    def wall(self):
        """Return the time that was set."""
        return self.now

    def advance(self, seconds):
        """Advance the clock by `seconds` and return the new time."""
        self.now += seconds
        return self.now
