"""Requests for changes of documents, and their outcomes."""

import enum
import typing


class OutcomeKind(enum.StrEnum):
    """The kinds of outcomes of a change."""

    IN_FORCE = "in-force"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Request(typing.NamedTuple):
    """A change that an operator or a trainer requests.

    If ``expected_generation`` is not None, the change is refused unless that
    generation is in force.
    """

    change_id: str
    service: str
    text: str
    operator: str
    expected_generation: int | None = None


class Outcome(typing.NamedTuple):
    """The outcome of a requested change.

    A change that was ``REFUSED`` is in force nowhere and never will be. One
    whose outcome is ``UNKNOWN`` is decided later; a request with the same
    change id then returns its outcome. ``missing`` lists the VMs that did not
    answer. ``is_transient`` marks a refusal because of a conflict, such as a
    concurrent change: a retry may succeed.
    """

    outcome: OutcomeKind
    generation: int
    change_id: str
    problems: list[str]
    missing: list[str]
    reason: str = ""
    is_transient: bool = False
