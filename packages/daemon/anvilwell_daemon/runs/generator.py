"""Makes one attempt at a sample on one replica."""

import abc
import typing

from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import versions


class Attempt(typing.NamedTuple):
    """One attempt: ``attempt_id`` is unique among all attempts."""

    attempt_id: str
    service: str
    sample: identity.SampleId
    group: identity.Group


class Generator(abc.ABC):
    """Generates on replicas; errors carry a verdict."""

    @abc.abstractmethod
    def stream(self, replica_id, attempt):
        """Return an async iterator of ``versions.TokenRun``.

        It ends only after a whole stream, and raises an
        ``exceptions.AnvilwellError`` otherwise. Closing it cancels.
        """

    @abc.abstractmethod
    def desired_version(self, service):
        """Return the version that all replicas shall have."""

    @abc.abstractmethod
    def replica_version(self, replica_id):
        """Return the version that a replica last reported, or ""."""


class Outcome(typing.NamedTuple):
    """A whole stream with certain versions."""

    text: str
    runs: tuple[versions.TokenRun, ...]

    @property
    def tokens(self):
        """How many tokens there are."""
        return sum(run.tokens for run in self.runs)
