"""Where the event loop leaves a stream's events for its reader."""

import abc
import asyncio
import queue


class Mailbox(abc.ABC):
    """Holds events; what it holds is bounded by the stream's credit."""

    @abc.abstractmethod
    def put(self, event):
        """Add `event`; called on the event loop's thread."""

    @abc.abstractmethod
    def get(self, timeout_s):
        """Return the next event, or None after `timeout_s` seconds."""


class ThreadMailbox(Mailbox):
    """For a reader on a thread of its own."""

    def __init__(self):
        self._queue = queue.SimpleQueue()

    def put(self, event):
        """Add `event`."""
        self._queue.put(event)

    def get(self, timeout_s):
        """Block until an event is there."""
        try:
            return self._queue.get(timeout=max(0.0, timeout_s))
        except queue.Empty:
            return None


class LoopMailbox(Mailbox):
    """For a reader on the event loop; ``get`` is a coroutine."""

    def __init__(self):
        self._queue = asyncio.Queue()

    def put(self, event):
        """Add `event`."""
        self._queue.put_nowait(event)

    async def get(self, timeout_s):
        """Wait until an event is there."""
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                return await self._queue.get()
        except TimeoutError:
            return None
