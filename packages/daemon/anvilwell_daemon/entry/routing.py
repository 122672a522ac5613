"""Which replica an attempt goes to."""

import abc
import random
import typing


class Candidate(typing.NamedTuple):
    """What an entry knows of a replica.

    ``in_flight`` is this entry's own count; ``load`` is the agent's
    last report, None before the first.
    """

    replica_id: str
    failure_domain: str
    in_flight: int
    load: typing.Any


class Routing(abc.ABC):
    """Chooses among replicas that can take the call."""

    @abc.abstractmethod
    def choose(self, call, candidates, now):
        """Return one of `candidates`, which are at least one."""


class TwoChoices(Routing):
    """The one with fewer requests in flight of two random ones.

    Parameters
    ----------
    source : random.Random
        Source of the choices.
    """

    def __init__(self, source=None):
        self._random = source or random.Random()

    def choose(self, call, candidates, now):
        """Return one of `candidates`."""
        pair = self._random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=_pressure)


def _pressure(candidate):
    queued = candidate.load.queued if candidate.load else 0
    return candidate.in_flight + queued
