"""What a stand-in saw, in memory and as JSON lines in a file."""

import collections
import io
import threading

from anvilwell_kernel import clock
import orjson

MAX_LINES = 1 << 18
WAIT_S = 60.0


class Record:
    """Keeps one line for each event, for tests and the auditor.

    Parameters
    ----------
    who : str
        Name of the recorder; in each line.
    path : str, optional
        File to which each line is written and flushed as well.
    """

    def __init__(self, who, path=""):
        self.who = who
        self._lines = collections.deque(maxlen=MAX_LINES)
        self._file = io.FileIO(path, "a") if path else None
        self._added = threading.Condition(threading.RLock())
        self._clock = clock.SystemClock()

    def add(self, kind, **fields):
        """Keep one line of `kind`."""
        line = {
            "at": round(self._clock.monotonic(), 6),
            "who": self.who,
            "kind": kind,
            **fields,
        }
        with self._added:
            self._lines.append(line)
            if self._file:
                self._file.write(orjson.dumps(line) + b"\n")
            self._added.notify_all()

    def lines(self, kind=""):
        """Return the lines so far, perhaps only those of `kind`."""
        with self._added:
            lines = list(self._lines)
        return [line for line in lines if kind in ("", line["kind"])]

    def wait_for(self, kind, count=1, *, timeout_s=WAIT_S):
        """Wait for `count` lines of `kind` and return them.

        Raises
        ------
        TimeoutError
            If they have not come after `timeout_s` seconds.
        """
        with self._added:
            found = self._added.wait_for(
                lambda: len(self.lines(kind)) >= count, timeout_s
            )
        if not found:
            raise TimeoutError(f"no {count} lines of kind {kind!r}")
        return self.lines(kind)

    def encode(self):
        """Return the lines so far as JSON lines in bytes."""
        return b"".join(orjson.dumps(line) + b"\n" for line in self.lines())
