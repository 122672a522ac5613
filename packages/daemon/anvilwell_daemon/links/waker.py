"""Wakes threads a few at a time.

The pieces of hundreds of streams arrive together. Were all their
threads woken at once, each would wait for the interpreter's lock in the
kernel, and most of the processor's time would go there.
"""

import queue
import threading

AT_A_TIME = 2


class Waker:
    """Releases signals while few of their waiters are on their way.

    Parameters
    ----------
    at_a_time : int
        Threads that may have been woken and not yet run.
    """

    def __init__(self, at_a_time=AT_A_TIME):
        self._permits = threading.Semaphore(at_a_time)
        self._signals = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._thread = None

    def wake(self, signal):
        """Release `signal` now or soon; never blocks.

        Its waiter must call ``awake`` as soon as it runs.
        """
        if self._permits.acquire(blocking=False):
            signal.release()
        else:
            self._signals.put(signal)
            self._start()

    def awake(self):
        """Note that a woken thread runs, so that another may follow."""
        self._permits.release()

    def _start(self):
        if self._thread is None:
            with self._lock:
                self._start_once()

    def _start_once(self):
        if self._thread is None:
            self._thread = threading.Thread(
                target=self._release_in_turn, name="waker", daemon=True
            )
            self._thread.start()

    def _release_in_turn(self):
        while True:
            signal = self._signals.get()
            self._permits.acquire()
            signal.release()
