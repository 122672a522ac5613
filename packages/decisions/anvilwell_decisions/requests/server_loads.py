"""What replicas tell of their load, and for how long it is believed."""

import typing

# Other work on a replica's machine comes and goes many times a second.
CONTENTION_TTL_S = 0.3
# What runs and waits changes with each request.
COUNTS_TTL_S = 2.0
# Work that takes as long as usual.
NO_CONTENTION = 1.0


class ServerLoad(typing.NamedTuple):
    """A replica's load, as an answer of its own told it.

    ``running`` and ``waiting`` count requests, its own callers' and all
    others'; ``slots`` is how many it runs at once. ``contention`` is how
    long work takes on its machine at that moment, as a multiple of the
    usual time; None if the replica does not tell.
    """

    running: int
    waiting: int
    slots: int
    contention: float | None = None

    @property
    def in_flight(self):
        """How many requests the replica has, running or waiting."""
        return self.running + self.waiting


class _TimedLoad(typing.NamedTuple):
    """An observation and when it was heard, in seconds."""

    load: ServerLoad
    at: float


class ServerLoads:
    """The newest observation of each replica, and what of it still holds.

    Its age is that of the moment when the answer's head came, in seconds
    of the caller's clock. Slots hold until a replica tells others; the
    counts and the contention are forgotten by themselves.
    """

    def __init__(self):
        self._loads_by_id = {}

    def record(self, replica_id, load, now):
        """Take in what a replica told just now."""
        self._loads_by_id[replica_id] = _TimedLoad(load, now)

    def forget(self, replica_id):
        """Forget a replica that is gone."""
        self._loads_by_id.pop(replica_id, None)

    def slots(self, replica_id):
        """Return how many requests a replica runs at once, 0 if unknown."""
        timed = self._loads_by_id.get(replica_id)
        return timed.load.slots if timed else 0

    def counts(self, replica_id, now):
        """Return the `Observation` if its counts are believed, or None."""
        timed = self._loads_by_id.get(replica_id)
        if timed is None or now - timed.at > COUNTS_TTL_S:
            return None
        return timed.load

    def contention(self, replica_id, now):
        """Return how long work takes now against the usual time.

        `USUAL` if the replica does not tell, or told it too long ago. Work
        never counts as quicker than usual: the pace is learned, not told.
        """
        timed = self._loads_by_id.get(replica_id)
        if timed is None or now - timed.at > CONTENTION_TTL_S:
            return NO_CONTENTION
        return max(NO_CONTENTION, timed.load.contention or NO_CONTENTION)
