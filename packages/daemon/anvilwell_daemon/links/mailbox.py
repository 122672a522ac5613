"""Where the event loop leaves a stream's events for its reader."""

import abc
import asyncio
import collections
import threading

from anvilwell_daemon.links import waker

# One for the process: its threads share one interpreter lock.
_WAKER = waker.Waker()


class Mailbox(abc.ABC):
    """Holds events; what it holds is bounded by the stream's credit."""

    @abc.abstractmethod
    def put(self, event):
        """Add `event`; called on the event loop's thread."""

    @abc.abstractmethod
    def get(self, timeout_s):
        """Return the next event, or None after `timeout_s` seconds."""


class ThreadMailbox(Mailbox):
    """For one reader on a thread of its own."""

    def __init__(self):
        self._events = collections.deque()
        self._mutex = threading.Lock()
        self._is_waiting = False
        self._signal = threading.Lock()
        self._signal.acquire()

    def put(self, event):
        """Add `event`."""
        with self._mutex:
            self._events.append(event)
            is_waiting = self._is_waiting
            self._is_waiting = False
        if is_waiting:
            _WAKER.wake(self._signal)

    def get(self, timeout_s):
        """Block until an event is there."""
        with self._mutex:
            if self._events:
                return self._events.popleft()
            self._is_waiting = True
        if not self._signal.acquire(timeout=max(0.0, timeout_s)):
            with self._mutex:
                if self._is_waiting:
                    self._is_waiting = False
                    return None
            # The signal is on its way and must be answered.
            self._signal.acquire()
        _WAKER.awake()
        return self._events.popleft()


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
