"""A service that scores samples for a trainer."""

import abc
import typing


class Score(typing.NamedTuple):
    """A score of one sample."""

    sample_id: str
    value: float


class Scorer(abc.ABC):
    """Scores samples; scoring is idempotent."""

    @abc.abstractmethod
    def score(self, samples, *, timeout_s):
        """Return scores_by_id for `samples`, the texts by sample id."""
