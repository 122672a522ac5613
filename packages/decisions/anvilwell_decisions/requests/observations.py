"""What replicas tell of their load, and for how long it is believed."""

import typing

# Other work on a replica's machine comes and goes many times a second.
CONTENTION_BELIEVED_S = 0.3
# What runs and waits changes with each request.
COUNTS_BELIEVED_S = 2.0
# Work that takes as long as usual.
USUAL = 1.0


class Observation(typing.NamedTuple):
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


class _Heard(typing.NamedTuple):
    """An observation and when it was heard, in seconds."""

    observation: Observation
    at: float


class Observations:
    """The newest observation of each replica, and what of it still holds.

    Its age is that of the moment when the answer's head came, in seconds
    of the caller's clock. Slots hold until a replica tells others; the
    counts and the contention are forgotten by themselves.
    """

    def __init__(self):
        self._heard_by_id = {}

    def heard(self, replica_id, observation, now):
        """Take in what a replica told just now."""
        self._heard_by_id[replica_id] = _Heard(observation, now)

    def forget(self, replica_id):
        """Forget a replica that is gone."""
        self._heard_by_id.pop(replica_id, None)

    def slots(self, replica_id):
        """Return how many requests a replica runs at once, 0 if unknown."""
        heard = self._heard_by_id.get(replica_id)
        return heard.observation.slots if heard else 0

    def counts(self, replica_id, now):
        """Return the `Observation` if its counts are believed, or None."""
        heard = self._heard_by_id.get(replica_id)
        if heard is None or now - heard.at > COUNTS_BELIEVED_S:
            return None
        return heard.observation

    def contention(self, replica_id, now):
        """Return how long work takes now against the usual time.

        `USUAL` if the replica does not tell, or told it too long ago. Work
        never counts as quicker than usual: the pace is learned, not told.
        """
        heard = self._heard_by_id.get(replica_id)
        if heard is None or now - heard.at > CONTENTION_BELIEVED_S:
            return USUAL
        return max(USUAL, heard.observation.contention or USUAL)
