"""One look at a time, now or later."""

import asyncio


class Timer:
    """Calls `callback` once, at the time that was asked for last.

    Parameters
    ----------
    callback : callable
        Takes nothing.
    """

    def __init__(self, callback):
        self._callback = callback
        self._handle = None
        self._at = 0.0

    def schedule_soon(self):
        """Look once after all that happens now, such as many ends."""
        self.cancel()
        loop = asyncio.get_running_loop()
        self._at = loop.time()
        self._handle = loop.call_soon(self._fire)

    def schedule_in(self, delay_s):
        """Look after so many seconds."""
        self.cancel()
        loop = asyncio.get_running_loop()
        self._at = loop.time() + delay_s
        self._handle = loop.call_later(delay_s, self._fire)

    def schedule_within(self, delay_s):
        """Look after so many seconds, or sooner if that is planned."""
        now = asyncio.get_running_loop().time()
        if self._handle is None or self._at > now + delay_s:
            self.schedule_in(delay_s)

    def _fire(self):
        self._handle = None
        self._callback()

    def cancel(self):
        """Do not look."""
        if self._handle:
            self._handle.cancel()
            self._handle = None
