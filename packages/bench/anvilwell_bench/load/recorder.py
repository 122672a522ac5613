"""Writes typed record lines."""

import json
import pathlib
import threading

from anvilwell_bench.audit import records
from anvilwell_kernel import clock


class Recorder:
    """Appends lines to one party's record.

    Parameters
    ----------
    who : str
        The party's name.
    path : path-like
        File to append to.
    """

    def __init__(self, who, path):
        self._who = who
        self._path = pathlib.Path(path)
        self._clock = clock.SystemClock()
        self._lock = threading.Lock()

    def now(self):
        """Return the time to give to `write`."""
        return self._clock.monotonic()

    def write(self, kind, *, at=None, **fields):
        """Write one line of `kind`, at `at` or now.

        Raises
        ------
        pydantic.ValidationError
            If the auditor could not read the line.
        """
        at = self.now() if at is None else at
        line = {"at": at, "who": self._who, "kind": kind, **fields}
        records.ADAPTER.validate_python(line)
        text = json.dumps(line) + "\n"
        with self._lock, self._path.open("a", encoding="utf-8") as file:
            file.write(text)
