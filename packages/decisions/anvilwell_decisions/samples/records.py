"""Entries of the log of a run, the only source of truth about it."""

import typing

from anvilwell_decisions.samples import identity


class Takeover(typing.NamedTuple):
    """A process became the holder of the ledger.

    ``fencing`` is the fencing number of its lease.
    """

    holder: str
    fencing: int


class StepAccepted(typing.NamedTuple):
    """A step was accepted; the entry contains the whole step."""

    step: identity.Step


class Choice(typing.NamedTuple):
    """The result of one attempt was chosen as the sample.

    ``holders`` are the daemons that had the bytes when the choice was
    written; ``versions`` are the weight versions of its tokens, in order.
    """

    sample: identity.SampleId
    digest: str
    tokens: int
    versions: tuple[str, ...]
    score: float | None
    holders: tuple[str, ...]


class Void(typing.NamedTuple):
    """A position that is never delivered; its sample is generated again."""

    position: int
    reason: str


class TrainerVersion(typing.NamedTuple):
    """The trainer's weight version from this record of the log on."""

    version: str


class Base(typing.NamedTuple):
    """Replaces the chunks before the first one that is kept.

    ``chunk`` is the number of the first chunk that is kept and ``position``
    the position of its first choice. All steps up to ``through`` are
    complete. ``version`` is the trainer's, or "" if it has reported none.
    """

    chunk: int
    position: int
    through: int
    version: str


KINDS = (Takeover, StepAccepted, Choice, Void, TrainerVersion, Base)
