"""What the log of a run holds; the log alone decides what is true."""

import typing

from anvilwell_decisions.samples import identity


class Takeover(typing.NamedTuple):
    """A process became the holder of the ledger."""

    holder: str
    fencing: int


class StepAccepted(typing.NamedTuple):
    """A step was accepted; its body was written with this entry."""

    step: identity.Step


class Choice(typing.NamedTuple):
    """One attempt's result became the sample.

    ``holders`` names the daemons that had the bytes when the choice was
    written; ``versions`` the weight versions of its tokens, in order.
    """

    sample: identity.SampleId
    digest: str
    tokens: int
    versions: tuple[str, ...]
    score: float | None
    holders: tuple[str, ...]


class Void(typing.NamedTuple):
    """A position that the trainer will never get; its sample is redone."""

    position: int
    reason: str


class TrainerVersion(typing.NamedTuple):
    """The weight version that the trainer has from here on."""

    version: str


class Base(typing.NamedTuple):
    """What came before the first chunk that is kept.

    ``chunk`` is the number of the first chunk that counts and
    ``position`` that of its first choice. All steps up to ``through``
    are done with. ``version`` is the trainer's, "" if it told none.
    """

    chunk: int
    position: int
    through: int
    version: str


KINDS = (Takeover, StepAccepted, Choice, Void, TrainerVersion, Base)
