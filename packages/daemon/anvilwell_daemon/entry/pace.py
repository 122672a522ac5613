"""How long the pieces of an answer wait for others to join them.

Each piece costs an entry a thread's wake-up and a write, whatever its
size. An entry with few streams gives each piece on soon; one with many
takes fewer and larger pieces. A first piece and an end never wait.
"""

import threading

from anvilwell_daemon.entry import calls

FEW_STREAMS = 32
MANY_STREAMS = 256
FEW_S = 0.02
SOME_S = 0.1
MANY_S = 0.25
TRAINING_S = 0.25


class OpenStreams:
    """Counts the calls under way; any thread may use it."""

    def __init__(self):
        self.open = 0
        self._lock = threading.Lock()

    def enter(self):
        """Count a call that begins."""
        with self._lock:
            self.open += 1

    def leave(self):
        """Count a call that ended."""
        with self._lock:
            self.open -= 1


def flush_s(priority, open_streams):
    """Return the longest wait of a piece, in seconds."""
    if priority == calls.TRAINING:
        return TRAINING_S
    if open_streams <= FEW_STREAMS:
        return FEW_S
    if open_streams <= MANY_STREAMS:
        return SOME_S
    return MANY_S
