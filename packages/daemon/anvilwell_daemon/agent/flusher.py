"""Coalesces the events of all streams of a link into few frames."""

import threading


class Flusher:
    """Moves what outflows hold to a connection, a moment later.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop that owns the connection.
    connection : connection.Connection
        Takes the messages.
    interval_s : float
        Longest time that an event waits for others to join it.
    """

    def __init__(self, loop, connection, interval_s):
        self._loop = loop
        self._connection = connection
        self._interval_s = interval_s
        self._lock = threading.Lock()
        self._dirty = set()
        self._armed = False

    def mark(self, outflow, *, now=False):
        """Note that `outflow` has events; any thread may call it.

        Parameters
        ----------
        outflow : outflow.Outflow
            What to move.
        now : bool
            Whether to move it without waiting for more events.
        """
        if now:
            # Alone: the others may still wait for more events.
            self._loop.call_soon_threadsafe(self.flush, outflow)
            return
        with self._lock:
            self._dirty.add(outflow)
            armed = self._armed
            self._armed = True
        if not armed:
            self._loop.call_soon_threadsafe(self._arm)

    def flush(self, outflow):
        """Move what `outflow` holds now; on the loop's thread only."""
        for message in outflow.take():
            self._connection.send(message)

    def _arm(self):
        self._loop.call_later(self._interval_s, self._flush)

    def _flush(self):
        with self._lock:
            dirty = self._dirty
            self._dirty = set()
            self._armed = False
        for outflow in dirty:
            self.flush(outflow)
