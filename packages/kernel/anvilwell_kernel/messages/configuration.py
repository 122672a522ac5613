"""Messages that agree on, spread and repair service documents."""

import enum
import typing


class PrepareState(enum.StrEnum):
    """What one member said, or is known, of a prepare request."""

    PREPARED = "prepared"
    REFUSED = "refused"
    LEAVING = "leaving"
    RESTARTED = "restarted"
    GONE = "gone"
    UNREACHABLE = "unreachable"


class Instance(typing.NamedTuple):
    """One process on a VM; ``incarnation`` is drawn at each start."""

    vm_id: str
    incarnation: str
    address: str = ""
    failure_domain: str = ""


class Document(typing.NamedTuple):
    """A service's document as one write of its record left it."""

    service: str
    generation: int
    sequence: int
    text: str


class PrepareChange(typing.NamedTuple):
    """Asks `targets` to get ready for a document; relayed by the first."""

    attempt: str
    change_id: str
    document: Document
    base_sequence: int
    targets: list[Instance]


class PrepareAnswer(typing.NamedTuple):
    """What one instance answers to a `PrepareChange`."""

    instance: Instance
    attempt: str
    state: PrepareState
    reason: str = ""
    problems: list[str] = []


class PrepareAnswers(typing.NamedTuple):
    """The answers of a relay's targets."""

    attempt: str
    answers: list[PrepareAnswer]


class CommitChange(typing.NamedTuple):
    """Says that an attempt landed and the document is in force."""

    attempt: str
    service: str
    generation: int
    sequence: int
    targets: list[Instance]


class AbortChange(typing.NamedTuple):
    """Says that an attempt never landed and never will."""

    attempt: str
    service: str
    targets: list[Instance]


class ChangeAcknowledged(typing.NamedTuple):
    """Who has taken in a `CommitChange` or an `AbortChange`."""

    vm_ids: list[str]


class DocumentVersion(typing.NamedTuple):
    """How far an instance is with one service."""

    service: str
    generation: int
    sequence: int


class DocumentDigest(typing.NamedTuple):
    """A hash of how far the sender is with `services` (empty: all)."""

    services: list[str]
    state_hash: int


class DocumentVersions(typing.NamedTuple):
    """The sender's state in full, unless the hashes are the same."""

    is_same: bool
    versions: list[DocumentVersion]


class Documents(typing.NamedTuple):
    """Documents that the receiver lacks; empty if it is up to date."""

    documents: list[Document]
    wanted: list[str] = []


class SponsorRequest(typing.NamedTuple):
    """Asked by an instance that can't reach the key-value service.

    ``services`` is what it follows; empty means all.
    """

    services: list[str]


class SponsorAnswer(typing.NamedTuple):
    """Whether the sponsor is sure of `documents` at this moment."""

    sponsor: Instance
    granted: bool
    documents: list[Document]


KINDS = (
    PrepareChange,
    PrepareAnswers,
    CommitChange,
    AbortChange,
    ChangeAcknowledged,
    DocumentDigest,
    DocumentVersions,
    Documents,
    SponsorRequest,
    SponsorAnswer,
)
