"""JSON answers of the operators' HTTP interface."""

import enum
import typing

import typing_extensions

# pydantic needs this one on Python 3.11.
TypedDict = typing_extensions.TypedDict


class Outcome(enum.StrEnum):
    """Whether a change is in force everywhere, nowhere or unknown."""

    IN_FORCE = "in-force"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Applied(TypedDict):
    """Answer to a change; ``missing`` names daemons without an answer."""

    outcome: Outcome
    generation: int
    change_id: str
    problems: list[str]
    missing: list[str]
    reason: str


class ServiceSummary(TypedDict):
    """A service in the list of services."""

    service: str
    kind: str
    generation: int


class Services(TypedDict):
    """All services that have a document."""

    services: list[ServiceSummary]


class ServiceDocument(TypedDict):
    """The document in force; ``generation`` 0 and "" if there is none."""

    service: str
    generation: int
    text: str


class Change(TypedDict):
    """One accepted change."""

    generation: int
    change_id: str
    operator: str
    digest: str


class History(TypedDict):
    """The last accepted changes, oldest first."""

    service: str
    changes: list[Change]


class Member(TypedDict):
    """A daemon as this entry knows it."""

    vm_id: str
    address: str
    failure_domain: str
    role: str
    service: str
    state: str


class Status(TypedDict):
    """What one entry knows of the fleet."""

    vm_id: str
    ready: bool
    unready: list[str]
    services: list[ServiceSummary]
    members: list[Member]


class ReplicaVersion(TypedDict):
    """The weight version that one replica reports."""

    vm_id: str
    failure_domain: str
    version: str


class Versions(TypedDict):
    """The desired weight version and what the replicas report."""

    service: str
    desired: str
    replicas: list[ReplicaVersion]


class Drained(TypedDict):
    """Answer to the order that a VM shall take no new work."""

    vm_id: str
    state: str


class Event(TypedDict):
    """Something that happened to a request; ``at`` is wall time, s."""

    at: float
    event: str
    fields: dict[str, typing.Any]


class Explanation(TypedDict):
    """The events of one request, oldest first."""

    request_id: str
    events: list[Event]
