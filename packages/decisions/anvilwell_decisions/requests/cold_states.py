"""Records which replicas count as cold."""

# A registration received this long after an event was written after it, in
# seconds: the sum of the intervals and delays on its way.
MAX_REGISTRATION_AGE_S = 2.0


class ColdStates:
    """Which replicas count as cold, from their registrations.

    A replica that appears or returns counts as cold until a registration that
    was written later states that it is warm. Times are in seconds.
    """

    def __init__(self):
        self._appeared_at_by_id = {}
        self._cold_ids = set()

    def is_cold(self, replica_id):
        """Return whether a replica counts as cold; unknown ones do."""
        return (
            replica_id in self._cold_ids
            or replica_id not in self._appeared_at_by_id
        )

    @property
    def cold_ids(self):
        """The ids of the known replicas that count as cold."""
        return frozenset(self._cold_ids)

    def registered(self, replica_id, cold_s, now):
        """Apply a registration; return whether the state has changed.

        Parameters
        ----------
        replica_id : str
            The replica.
        cold_s : float
            How much longer it stays cold, as of its registration.
        now : float
            When the registration was received.
        """
        was_cold = replica_id in self._cold_ids
        appeared_at = self._appeared_at_by_id.setdefault(replica_id, now)
        if cold_s > 0 or now - appeared_at < MAX_REGISTRATION_AGE_S:
            self._cold_ids.add(replica_id)
        else:
            self._cold_ids.discard(replica_id)
        return was_cold != (replica_id in self._cold_ids)

    def gone(self, replica_id):
        """Record that a replica is absent or may not receive work."""
        self._appeared_at_by_id.pop(replica_id, None)
        self._cold_ids.discard(replica_id)
