"""Carries a blocking watch from its thread to the event loop."""

import asyncio
import threading

from anvilwell_daemon.keyvalue import meter

_END = object()


class Watch:
    """One waiting watch on a thread of its own.

    Parameters
    ----------
    blocking : callable
        Returns the port's blocking iterator of changes.
    purpose : keyvalue.Purpose
        What the meter counts it for.
    """

    def __init__(self, blocking, purpose):
        self._blocking = blocking
        self._purpose = purpose
        self._loop = asyncio.get_running_loop()
        self._queue = asyncio.Queue()
        self._closed = threading.Event()

    async def changes(self):
        """Yield each change; raise what the port raised."""
        thread = threading.Thread(
            target=self._run, name="keyvalue-watch", daemon=True
        )
        thread.start()
        while (item := await self._queue.get()) is not _END:
            if isinstance(item, Exception):
                raise item
            yield item

    def close(self):
        """Take no more changes."""
        self._closed.set()
        self._queue.put_nowait(_END)

    def _run(self):
        meter.count_watch(self._purpose, 1)
        try:
            for change in self._blocking():
                if self._closed.is_set():
                    break
                self._put(change)
            self._put(_END)
            outcome = meter.Outcome.ANSWERED
        except Exception as error:
            self._put(error)
            outcome = meter.Outcome.UNAVAILABLE
        meter.count_call(self._purpose, meter.Access.WATCH, outcome)
        meter.count_watch(self._purpose, -1)

    def _put(self, item):
        try:
            self._loop.call_soon_threadsafe(self._queue.put_nowait, item)
        except RuntimeError:
            self._closed.set()
