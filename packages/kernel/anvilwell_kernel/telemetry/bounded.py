"""A log destination that never blocks and whose buffer is bounded."""

import collections
import contextlib
import os
import time

import orjson

ROUTINE = "routine"
# Maximum rate of routine lines per second, and the size of a burst. A line has
# about 300 bytes, so the rate amounts to at most 60 KB per second.
ROUTINE_RATE = 200.0
ROUTINE_BURST = 400
# Maximum size of the lines that are buffered while the reader is slow; 1 % of
# the memory of the smallest VM.
MAX_BUFFERED_BYTES = 1 << 20
# Routine lines may fill half of the buffer; the other half is reserved for
# lines about failures.
MAX_BUFFERED_ROUTINE_BYTES = MAX_BUFFERED_BYTES // 2
# Minimum interval in seconds between two notes on the number of dropped lines.
NOTE_INTERVAL_S = 1.0


class BoundedDestination:
    """Writes messages as JSON lines to a file descriptor.

    Messages marked as routine are dropped above a rate limit. If the
    reader is slow, they are also dropped earlier than messages about
    failures.

    Parameters
    ----------
    descriptor : int
        Descriptor to write to; it is made non-blocking.
    clock : callable, optional
        Returns monotonic time in seconds.
    """

    def __init__(self, descriptor, clock=time.monotonic):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._buffer = collections.deque()
        self._buffered_bytes = 0
        self._tokens = float(ROUTINE_BURST)
        self._refilled_at = clock()
        self._dropped_lines = 0
        self._last_note_at = clock()

    def __call__(self, message):
        """Write `message`, or drop it if a limit is exceeded."""
        is_routine = message.pop(ROUTINE, False)
        now = self._clock()
        if is_routine and not self._take_token(now):
            self._dropped_lines += 1
            return
        self._write_drop_note(now)
        self._add(_line(message), is_routine)
        self.flush()

    def flush(self):
        """Write as much of the buffer as possible without blocking."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()

    def close(self):
        """Flush without waiting and make the descriptor blocking again."""
        with contextlib.suppress(OSError):
            self.flush()
            os.set_blocking(self._descriptor, True)

    def _add(self, data, is_routine):
        most = MAX_BUFFERED_ROUTINE_BYTES if is_routine else MAX_BUFFERED_BYTES
        if self._buffered_bytes + len(data) > most:
            self._dropped_lines += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def _take_token(self, now):
        refill = (now - self._refilled_at) * ROUTINE_RATE
        self._tokens = min(ROUTINE_BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write_drop_note(self, now):
        if self._dropped_lines and now - self._last_note_at >= NOTE_INTERVAL_S:
            note = {
                "message_type": f"{__name__}:lines-left-out",
                "lines": self._dropped_lines,
            }
            self._last_note_at = now
            self._dropped_lines = 0
            self._add(_line(note), False)


def _line(message):
    return orjson.dumps(message, default=str) + b"\n"
