"""JSON responses of the HTTP interface for operators."""

import enum
import typing

import typing_extensions

# On Python 3.11, pydantic does not support typing.TypedDict.
TypedDict = typing_extensions.TypedDict


class Outcome(enum.StrEnum):
    """Whether a change is in force everywhere, nowhere or unknown."""

    IN_FORCE = "in-force"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Applied(TypedDict):
    """Response to a change; ``missing`` lists daemons that did not answer."""

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
    """The document in force.

    If there is none, ``generation`` is 0 and ``text`` is "".
    """

    service: str
    generation: int
    text: str


class Change(TypedDict):
    """An accepted change of a service's document."""

    generation: int
    change_id: str
    operator: str
    digest: str


class History(TypedDict):
    """The most recent accepted changes, oldest first."""

    service: str
    changes: list[Change]


class Member(TypedDict):
    """A daemon as recorded in the member table of the answering entry."""

    vm_id: str
    address: str
    failure_domain: str
    role: str
    service: str
    state: str


class Status(TypedDict):
    """The readiness of an entry, and the services and members it lists."""

    vm_id: str
    ready: bool
    unready: list[str]
    services: list[ServiceSummary]
    members: list[Member]


class ReplicaVersion(TypedDict):
    """The weight version that a replica reports."""

    vm_id: str
    failure_domain: str
    version: str


class Versions(TypedDict):
    """The desired weight version and those that the replicas report."""

    service: str
    desired: str
    replicas: list[ReplicaVersion]


class Drained(TypedDict):
    """Response to an order to drain a VM."""

    vm_id: str
    state: str


class Event(TypedDict):
    """An event of a request; ``at`` is in seconds since the epoch."""

    at: float
    event: str
    fields: dict[str, typing.Any]


class Explanation(TypedDict):
    """The events of a request, oldest first."""

    request_id: str
    events: list[Event]
