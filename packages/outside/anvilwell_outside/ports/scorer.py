"""Port to a service that scores samples for a trainer."""

import abc
import typing


class Score(typing.NamedTuple):
    """The score of one sample."""

    sample_id: str
    value: float


class Scorer(abc.ABC):
    """Blocking calls to a scorer; scoring a sample again is harmless."""

    @abc.abstractmethod
    def score(self, samples, *, timeout_s):
        """Return a `Score` by sample id for `samples`, the texts by id."""
