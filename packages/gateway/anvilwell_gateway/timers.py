"""A timer that can be rescheduled."""

import asyncio


class Timer:
    """Calls `callback` once, at the time that was scheduled last.

    Parameters
    ----------
    callback : callable
        Called without arguments.
    """

    def __init__(self, callback):
        self._callback = callback
        self._handle = None
        self._at = 0.0

    def schedule_soon(self):
        """Call back in the next iteration of the event loop.

        Events of this iteration, such as many runs that end together, share
        one call.
        """
        self.cancel()
        loop = asyncio.get_running_loop()
        self._at = loop.time()
        self._handle = loop.call_soon(self._fire)

    def schedule_in(self, delay_s):
        """Call back after `delay_s` seconds."""
        self.cancel()
        loop = asyncio.get_running_loop()
        self._at = loop.time() + delay_s
        self._handle = loop.call_later(delay_s, self._fire)

    def schedule_within(self, delay_s):
        """Call back in `delay_s` seconds, or earlier if scheduled earlier."""
        now = asyncio.get_running_loop().time()
        if self._handle is None or self._at > now + delay_s:
            self.schedule_in(delay_s)

    def _fire(self):
        self._handle = None
        self._callback()

    def cancel(self):
        """Cancel the scheduled call, if there is one."""
        if self._handle:
            self._handle.cancel()
            self._handle = None
