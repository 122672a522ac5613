"""Counts the requests in flight, so that a drain can wait for them."""

import asyncio
import threading


class InFlight:
    """Counts the requests in flight; its methods are thread-safe."""

    def __init__(self):
        self.is_draining = False
        self._lock = threading.Lock()
        self._count = 0
        self._on_empty = None

    def enter(self):
        """Count a request that has started."""
        with self._lock:
            self._count += 1

    def leave(self):
        """Count a request that has ended."""
        with self._lock:
            self._count -= 1
            self._notify_if_empty()

    async def drain(self):
        """Set `is_draining` and wait until no request is in flight."""
        loop = asyncio.get_running_loop()
        empty = asyncio.Event()
        with self._lock:
            self.is_draining = True
            self._on_empty = lambda: loop.call_soon_threadsafe(empty.set)
            self._notify_if_empty()
        await empty.wait()

    def _notify_if_empty(self):
        if self._on_empty and not self._count:
            self._on_empty()
            self._on_empty = None
