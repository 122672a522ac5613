"""The load that replicas report with responses, and how long it is valid."""

import typing

# How long a reported contention is valid: other work on a replica's machine
# starts and stops many times per second.
CONTENTION_TTL_S = 0.3
# How long reported counts are valid; they change with each request.
COUNTS_TTL_S = 2.0
# The contention of a machine on which work takes as long as usual.
NO_CONTENTION = 1.0


class ServerLoad(typing.NamedTuple):
    """The load of a replica, as reported in one of its responses.

    ``running`` and ``waiting`` count the requests of all callers. ``slots``
    is how many run at once. ``contention`` is how long work takes on the
    replica's machine at that moment, as a multiple of the usual time; None if
    the replica does not report it.
    """

    running: int
    waiting: int
    slots: int
    contention: float | None = None

    @property
    def in_flight(self):
        """The number of requests at the replica, running or waiting."""
        return self.running + self.waiting


class _TimedLoad(typing.NamedTuple):
    """A reported load, and the time in seconds at which it was received."""

    load: ServerLoad
    at: float


class ServerLoads:
    """The newest reported load of each replica, while it is valid.

    The age counts from the arrival of the response's headers, by the clock of
    this process. The slots are valid until the replica reports others; the
    counts and the contention expire.
    """

    def __init__(self):
        self._loads_by_id = {}

    def record(self, replica_id, load, now):
        """Record the load that a replica has just reported."""
        self._loads_by_id[replica_id] = _TimedLoad(load, now)

    def forget(self, replica_id):
        """Drop the load of a removed replica."""
        self._loads_by_id.pop(replica_id, None)

    def slots(self, replica_id):
        """Return how many requests a replica runs at once, 0 if unknown."""
        timed = self._loads_by_id.get(replica_id)
        return timed.load.slots if timed else 0

    def counts(self, replica_id, now):
        """Return the `ServerLoad` if its counts are still valid, or None."""
        timed = self._loads_by_id.get(replica_id)
        if timed is None or now - timed.at > COUNTS_TTL_S:
            return None
        return timed.load

    def contention(self, replica_id, now):
        """Return how long work takes now, as a multiple of the usual time.

        The result is `NO_CONTENTION` if no contention was reported or the
        report has expired. Reported values below `NO_CONTENTION` are ignored:
        the speed of a replica is measured, not taken from its reports.
        """
        timed = self._loads_by_id.get(replica_id)
        if timed is None or now - timed.at > CONTENTION_TTL_S:
            return NO_CONTENTION
        return max(NO_CONTENTION, timed.load.contention or NO_CONTENTION)
