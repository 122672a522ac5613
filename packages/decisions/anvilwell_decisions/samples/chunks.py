"""Writes the log of a run in numbered chunks, with group commit.

Each chunk is one key that is only written if it does not exist. When two
processes both act as the holder of the ledger, they write to the same number
and only one write succeeds, whatever the state of their leases.
"""

import enum

from anvilwell_decisions.samples import actions
from anvilwell_decisions.samples import records

# Longest time in seconds that an entry waits to share a chunk.
COMMIT_INTERVAL_S = 0.5
CHUNK_ENTRIES = 512
# Seconds until a write with an unknown outcome is repeated.
RETRY_S = 1.0


class ChunkAuthor(enum.Enum):
    """Which process wrote a chunk: this one or another."""

    MINE = "mine"
    OTHER = "other"


class ChunkLog:
    """Collects entries and writes them one chunk at a time.

    Parameters
    ----------
    number : int
        Number of the first chunk to write.
    interval_s : float
        Longest time in seconds that an entry waits for others to share
        its chunk.
    """

    def __init__(self, number=0, interval_s=COMMIT_INTERVAL_S):
        self.number = number
        self._interval_s = interval_s
        self._waiting = []
        self._since = 0.0
        self._in_flight = ()
        self._retry_at = None

    @property
    def unwritten(self):
        """How many entries are not confirmed as written."""
        return len(self._waiting) + len(self._in_flight)

    def append(self, entry, now):
        """Add `entry` to the next chunk."""
        if not self._waiting:
            self._since = now
        self._waiting.append(entry)

    def due_at(self):
        """Return the time at which `write` is next due, or None."""
        if self._in_flight:
            return self._retry_at
        if not self._waiting:
            return None
        return self._since + self._interval_s

    def write(self, now, *, at_once=False):
        """Return a list of the ``WriteChunk`` that is due, if any."""
        if self._in_flight:
            return self._write_again(now)
        full = len(self._waiting) >= CHUNK_ENTRIES
        due = self._waiting and now >= self._since + self._interval_s
        if not (full or due or (at_once and self._waiting)):
            return []
        self._in_flight = tuple(self._waiting[:CHUNK_ENTRIES])
        del self._waiting[:CHUNK_ENTRIES]
        self._since = now
        return [actions.WriteChunk(self.number, self._in_flight)]

    def _write_again(self, now):
        if self._retry_at is None or now < self._retry_at:
            return []
        self._retry_at = None
        return [actions.WriteChunk(self.number, self._in_flight)]

    def retry_later(self, now, retry_s=RETRY_S):
        """Schedule the write again, as its outcome is unknown."""
        if self._in_flight:
            self._retry_at = now + retry_s

    def confirm_written(self, number):
        """Confirm that chunk `number` was written and return its entries."""
        if number != self.number or not self._in_flight:
            return ()
        entries = self._in_flight
        self._in_flight = ()
        self._retry_at = None
        self.number += 1
        return entries

    def compare(self, number, entries):
        """Return who wrote the stored chunk `number`, judging by `entries`."""
        if number != self.number or tuple(entries) == self._in_flight:
            return ChunkAuthor.MINE
        return ChunkAuthor.OTHER


def last_holder(entries):
    """Return the holder in the last `records.Takeover`, or "" without one."""
    holders = [
        entry.holder
        for entry in entries
        if isinstance(entry, records.Takeover)
    ]
    return holders[-1] if holders else ""
