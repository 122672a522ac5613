"""Messages by which daemons agree on and replicate service documents."""

import enum
import typing


class PrepareState(enum.StrEnum):
    """The outcome of a prepare request at one member.

    Either the member answered it, or the sender found out why there is no
    answer.
    """

    PREPARED = "prepared"
    REFUSED = "refused"
    LEAVING = "leaving"
    RESTARTED = "restarted"
    GONE = "gone"
    UNREACHABLE = "unreachable"


class Instance(typing.NamedTuple):
    """A process on a VM; ``incarnation`` is chosen anew at each start."""

    vm_id: str
    incarnation: str
    address: str = ""
    failure_domain: str = ""


class Document(typing.NamedTuple):
    """A service's document as of one write of its stored record."""

    service: str
    generation: int
    sequence: int
    text: str


class PrepareChange(typing.NamedTuple):
    """Asks `targets` to prepare for a document; the first one relays it."""

    attempt: str
    change_id: str
    document: Document
    base_sequence: int
    targets: list[Instance]


class PrepareAnswer(typing.NamedTuple):
    """The answer of one instance to a `PrepareChange`."""

    instance: Instance
    attempt: str
    state: PrepareState
    reason: str = ""
    problems: list[str] = []


class PrepareAnswers(typing.NamedTuple):
    """The answers of all targets that one relay collected."""

    attempt: str
    answers: list[PrepareAnswer]


class CommitChange(typing.NamedTuple):
    """States that an attempt was written and its document is in force."""

    attempt: str
    service: str
    generation: int
    sequence: int
    targets: list[Instance]


class AbortChange(typing.NamedTuple):
    """States that an attempt was not written and never will be."""

    attempt: str
    service: str
    targets: list[Instance]


class ChangeAcknowledged(typing.NamedTuple):
    """The VMs that acknowledge a `CommitChange` or an `AbortChange`."""

    vm_ids: list[str]


class DocumentVersion(typing.NamedTuple):
    """The latest document of one service that an instance has."""

    service: str
    generation: int
    sequence: int


class DocumentDigest(typing.NamedTuple):
    """A hash of the sender's versions of `services`; empty means all."""

    services: list[str]
    state_hash: int


class DocumentVersions(typing.NamedTuple):
    """The sender's versions; omitted if the hashes are the same."""

    is_same: bool
    versions: list[DocumentVersion]


class Documents(typing.NamedTuple):
    """Documents that the receiver lacks; none if it is up to date.

    ``wanted`` names the services whose documents the sender requests.
    """

    documents: list[Document]
    wanted: list[str] = []


class SponsorRequest(typing.NamedTuple):
    """Sent by an instance that can't reach the key-value service.

    ``services`` holds the services that it follows; empty means all.
    """

    services: list[str]


class SponsorAnswer(typing.NamedTuple):
    """Whether the sponsor confirms that `documents` are current."""

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
