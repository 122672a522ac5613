"""One look at a time, now or later."""

import asyncio


class Alarm:
    """Calls `look` once, at the time that was asked for last.

    Parameters
    ----------
    look : callable
        Takes nothing.
    """

    def __init__(self, look):
        self._look = look
        self._handle = None
        self._at = 0.0

    def soon(self):
        """Look once after all that happens now, such as many ends."""
        self.stop()
        loop = asyncio.get_running_loop()
        self._at = loop.time()
        self._handle = loop.call_soon(self._fire)

    def later(self, wait_s):
        """Look after so many seconds."""
        self.stop()
        loop = asyncio.get_running_loop()
        self._at = loop.time() + wait_s
        self._handle = loop.call_later(wait_s, self._fire)

    def within(self, wait_s):
        """Look after so many seconds, or sooner if that is planned."""
        now = asyncio.get_running_loop().time()
        if self._handle is None or self._at > now + wait_s:
            self.later(wait_s)

    def _fire(self):
        self._handle = None
        self._look()

    def stop(self):
        """Do not look."""
        if self._handle:
            self._handle.cancel()
            self._handle = None
