"""One attempt of a call on one replica's link."""

import asyncio
import threading

from anvilwell_kernel import reasons

WINDOW_FRAMES = 16


class Attempt:
    """Lets any thread use a stream of a link.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop that owns the link.
    loop_thread : int
        The loop's thread.
    link : data_link.DataLink
        The link.
    """

    def __init__(self, loop, loop_thread, link):
        self._loop = loop
        self._loop_thread = loop_thread
        self._link = link
        self._stream_id = None
        self._unread = 0

    def open(self, start, mailbox):
        """Open the stream; the mailbox gets all that comes of it."""
        self._post(self._open, start, mailbox)

    def consumed(self):
        """Note that one data frame was read; gives credit in batches."""
        self._unread += 1
        if self._unread >= WINDOW_FRAMES // 2:
            self._post(self._add_credit, self._unread)
            self._unread = 0

    def expire(self):
        """Give up at the deadline; the mailbox gets the last event."""
        self._post(self._expire)

    def cancel(self):
        """Give up, because nobody waits for the answer."""
        self._post(self._cancel)

    def _post(self, function, *args):
        if threading.get_ident() == self._loop_thread:
            function(*args)
        else:
            self._loop.call_soon_threadsafe(function, *args)

    def _open(self, start, mailbox):
        self._stream_id = self._link.open(start, mailbox)

    def _add_credit(self, frames):
        self._link.add_credit(self._stream_id, frames)

    def _expire(self):
        self._link.expire(self._stream_id)

    def _cancel(self):
        self._link.cancel(self._stream_id, reasons.Refusal.CANCELLED)


class Opener:
    """Opens attempts on the links of one event loop.

    Must be made on the loop's thread.
    """

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._thread = threading.get_ident()

    def attempt(self, link):
        """Return a new `Attempt` on `link`."""
        return Attempt(self._loop, self._thread, link)
