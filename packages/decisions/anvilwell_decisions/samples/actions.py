"""What a ledger asks its process to do."""

import typing

from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import records


class WriteChunk(typing.NamedTuple):
    """Write chunk ``number`` of the log, which must not exist yet."""

    number: int
    entries: tuple


class Accepted(typing.NamedTuple):
    """Tell the trainer that its step is accepted for good."""

    step: int


class VersionTaken(typing.NamedTuple):
    """Tell the trainer that its version is recorded."""

    version: str


class Generate(typing.NamedTuple):
    """The sample needs an attempt."""

    sample: identity.SampleId


class Settled(typing.NamedTuple):
    """The sample needs no attempt more; cancel those under way."""

    sample: identity.SampleId


class Score(typing.NamedTuple):
    """Have the candidate scored."""

    sample: identity.SampleId
    digest: str


class Replicate(typing.NamedTuple):
    """Copy the candidate's bytes to a daemon in another domain."""

    sample: identity.SampleId
    digest: str


class Fetch(typing.NamedTuple):
    """Get the bytes of a recorded sample from one of its holders."""

    position: int
    choice: records.Choice


class Discard(typing.NamedTuple):
    """Bytes that nobody will ask for again; ``holders`` have copies."""

    sample: identity.SampleId
    digest: str
    holders: tuple[str, ...] = ()


class Trim(typing.NamedTuple):
    """Write ``base``, then delete the chunks that come before it."""

    base: records.Base


class Dropped(typing.NamedTuple):
    """An attempt's result was not used; count it."""

    sample: identity.SampleId
    reason: str
    tokens: int


class Deliverable(typing.NamedTuple):
    """Positions below ``end`` are recorded; wake waiting trainers."""

    end: int


class StepDown(typing.NamedTuple):
    """Another process holds the ledger now; stop at once."""

    holder: str
