"""Passes the changes of a blocking watch to the event loop."""

import asyncio
import threading

from anvilwell_daemon.keyvalue import meter

_END = object()


class Watch:
    """Runs one blocking watch on a thread of its own.

    Parameters
    ----------
    blocking : callable
        Opens the port's ``Watch``, whose iteration blocks.
    purpose : keyvalue.Purpose
        The label under which the watch is counted.
    """

    def __init__(self, blocking, purpose):
        self._blocking = blocking
        self._purpose = purpose
        self._loop = asyncio.get_running_loop()
        self._queue = asyncio.Queue()
        self._closed = threading.Event()
        self._lock = threading.Lock()
        self._reader = None

    async def changes(self):
        """Yield each change; an error of the port is raised here."""
        thread = threading.Thread(
            target=self._run, name="keyvalue-watch", daemon=True
        )
        thread.start()
        while (item := await self._queue.get()) is not _END:
            if isinstance(item, Exception):
                raise item
            yield item

    def close(self):
        """Close the watch, also at the service; its thread then ends."""
        with self._lock:
            self._closed.set()
            reader = self._reader
        if reader is not None:
            reader.close()
        self._queue.put_nowait(_END)

    def _run(self):
        meter.count_watch(self._purpose, 1)
        try:
            self._read()
            self._put(_END)
            outcome = meter.Outcome.ANSWERED
        except Exception as error:
            self._put(error)
            outcome = meter.Outcome.UNAVAILABLE
        meter.count_call(self._purpose, meter.Access.WATCH, outcome)
        meter.count_watch(self._purpose, -1)

    def _read(self):
        reader = self._blocking()
        with self._lock:
            self._reader = reader
        try:
            while not self._closed.is_set():
                self._put(next(reader))
        except StopIteration:
            return
        finally:
            reader.close()

    def _put(self, item):
        try:
            self._loop.call_soon_threadsafe(self._queue.put_nowait, item)
        except RuntimeError:
            self._closed.set()
