"""Tracks the replicas of one service and their free slots."""

import sortedcontainers


class _Replica:
    """A replica's slots, the attempts in them and its weight version."""

    __slots__ = ("attempts", "key", "slots", "version")

    def __init__(self):
        self.slots = 0
        self.version = 0
        self.attempts = set()
        self.key = None


class Replicas:
    """Finds the least loaded replica, in O(log n) for each change."""

    def __init__(self):
        self._by_id = {}
        self._free = sortedcontainers.SortedList()
        self._oldest = 0

    @property
    def free(self):
        """Whether any replica has a free slot."""
        return bool(self._free)

    def set(self, replica_id, slots, version):
        """Add a replica, or change its slots or version."""
        replica = self._by_id.setdefault(replica_id, _Replica())
        replica.slots = slots
        replica.version = version
        self._update_free(replica_id, replica)

    def remove(self, replica_id):
        """Remove a replica and return the attempts that ran on it."""
        replica = self._by_id.pop(replica_id, None)
        if replica is None:
            return []
        self._remove_free(replica)
        return sorted(replica.attempts)

    def set_oldest_version(self, version):
        """Exclude replicas with a weight version older than `version`."""
        if version == self._oldest:
            return
        self._oldest = version
        for replica_id, replica in self._by_id.items():
            self._update_free(replica_id, replica)

    def choose(self, oldest, preferred=None):
        """Return a replica with a free slot, or None.

        Parameters
        ----------
        oldest : int
            The oldest weight version that is allowed.
        preferred : str, optional
            The replica to choose if it is allowed and has a free slot;
            otherwise the least loaded one is chosen.
        """
        replica = self._by_id.get(preferred)
        if replica is not None and replica.key and replica.version >= oldest:
            return preferred
        return self.choose_except((), oldest)

    def choose_except(self, avoided, oldest):
        """Return the least loaded replica not in `avoided`, or None."""
        others = (
            name
            for _, name in self._free
            if name not in avoided and self._by_id[name].version >= oldest
        )
        return next(others, None)

    def take(self, replica_id, attempt):
        """Use a slot for `attempt`; return the replica's weight version."""
        replica = self._by_id[replica_id]
        replica.attempts.add(attempt)
        self._update_free(replica_id, replica)
        return replica.version

    def release(self, replica_id, attempt):
        """Free the slot of `attempt`."""
        replica = self._by_id[replica_id]
        replica.attempts.discard(attempt)
        self._update_free(replica_id, replica)

    def _remove_free(self, replica):
        if replica.key is not None:
            self._free.remove(replica.key)
            replica.key = None

    def _update_free(self, replica_id, replica):
        self._remove_free(replica)
        used = len(replica.attempts)
        if used < replica.slots and replica.version >= self._oldest:
            replica.key = (used / replica.slots, replica_id)
            self._free.add(replica.key)
