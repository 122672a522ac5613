"""Actions that a ledger returns for its process to carry out."""

import typing

from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import records


class WriteChunk(typing.NamedTuple):
    """Write ``entries`` as chunk ``number`` if that key does not exist yet."""

    number: int
    entries: tuple


class Accepted(typing.NamedTuple):
    """Notify the trainer that its step is recorded as accepted."""

    step: int


class VersionTaken(typing.NamedTuple):
    """Notify the trainer that its version is recorded."""

    version: str


class Generate(typing.NamedTuple):
    """Schedule an attempt to generate the sample."""

    sample: identity.SampleId


class Settled(typing.NamedTuple):
    """Cancel the running attempts of a sample that has a candidate result."""

    sample: identity.SampleId


class Score(typing.NamedTuple):
    """Send the candidate result to the scorer."""

    sample: identity.SampleId
    digest: str


class Replicate(typing.NamedTuple):
    """Copy the candidate's bytes to a daemon in another failure domain."""

    sample: identity.SampleId
    digest: str


class Fetch(typing.NamedTuple):
    """Fetch the bytes of a recorded sample from one of its holders."""

    position: int
    choice: records.Choice


class Discard(typing.NamedTuple):
    """Delete bytes that are no longer needed, also at ``holders``."""

    sample: identity.SampleId
    digest: str
    holders: tuple[str, ...] = ()


class Trim(typing.NamedTuple):
    """Write ``base``, then delete the chunks that it replaces."""

    base: records.Base


class Dropped(typing.NamedTuple):
    """Count the tokens of an attempt whose result was not used."""

    sample: identity.SampleId
    reason: str
    tokens: int


class Deliverable(typing.NamedTuple):
    """Wake trainers that wait for positions below ``end``."""

    end: int


class StepDown(typing.NamedTuple):
    """Stop at once, as ``holder`` has taken over the ledger."""

    holder: str
