"""What an operator is told of a change."""

import enum
import typing


class OutcomeKind(enum.StrEnum):
    """Whether a change is in force."""

    IN_FORCE = "in-force"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Request(typing.NamedTuple):
    """A change that an operator or a trainer asks for.

    ``expected_generation`` of None means that any will do.
    """

    change_id: str
    service: str
    text: str
    operator: str
    expected_generation: int | None = None


class Outcome(typing.NamedTuple):
    """The answer to a change.

    ``REFUSED`` is final and in force nowhere. ``UNKNOWN`` is settled
    later; asking again with the same change id tells how.
    ``is_transient`` marks a refusal by a race with another change:
    trying again soon may do better.
    """

    outcome: OutcomeKind
    generation: int
    change_id: str
    problems: list[str]
    missing: list[str]
    reason: str = ""
    is_transient: bool = False
