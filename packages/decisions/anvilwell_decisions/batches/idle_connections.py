"""Counts the idle connections that items of one round have not taken yet."""

import collections


class IdleConnections:
    """The idle connections to each replica during a round of assignments.

    An assigned item takes its connection only after the round, so the items
    assigned before it are counted here.

    Parameters
    ----------
    idle_count : callable, optional
        Returns the number of usable idle connections to a replica id. Without
        it, no replica counts as having one.
    """

    def __init__(self, idle_count=None):
        self._idle_count = idle_count
        self._taken_by_id = collections.Counter()

    def start_round(self):
        """Forget the items of the last round, which have connections now."""
        self._taken_by_id.clear()

    def take(self, replica_id):
        """Record that an item was assigned to a replica."""
        self._taken_by_id[replica_id] += 1

    def has_any(self, replica_id):
        """Return whether one more item at a replica finds a connection."""
        if self._idle_count is None:
            return False
        taken = self._taken_by_id[replica_id]
        return self._idle_count(replica_id) > taken
