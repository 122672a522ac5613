"""Time as an argument, so that tests and benches can set it."""

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic and wall time, in seconds."""

    @abc.abstractmethod
    def monotonic(self):
        """Return monotonic time in seconds; only differences matter."""

    @abc.abstractmethod
    def wall(self):
        """Return seconds since the epoch; for people, never for logic."""


class SystemClock(Clock):
    """The machine's own clocks."""

    def monotonic(self):
        """Return boot time, which goes on while the VM is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self):
        """Return seconds since the epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when told to."""

    def __init__(self, now=0.0):
        self.now = now

    def monotonic(self):
        """Return the time that was set."""
        return self.now

    def wall(self):
        """Return the time that was set."""
        return self.now

    def advance(self, seconds):
        """Move on by `seconds` and return the new time."""
        self.now += seconds
        return self.now
