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

    def soon(self):
        """Look once after all that happens now, such as many ends."""
        self.stop()
        self._handle = asyncio.get_running_loop().call_soon(self._look)

    def later(self, wait_s):
        """Look after so many seconds."""
        self.stop()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(wait_s, self._look)

    def stop(self):
        """Do not look."""
        if self._handle:
            self._handle.cancel()
            self._handle = None
