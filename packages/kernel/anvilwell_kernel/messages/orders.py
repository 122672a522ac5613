"""Messages by which the leader of a rollout orders weight versions."""

import enum
import typing


class Kind(enum.StrEnum):
    """What an order asks of an agent."""

    STATUS = "status"
    LOAD = "load"
    ACTIVATE = "activate"


class Activity(enum.StrEnum):
    """What an agent does with its engine's weights now."""

    IDLE = "idle"
    LOADING = "loading"
    ACTIVATING = "activating"
    WAITING = "waiting"


class Order(typing.NamedTuple):
    """One order; ``number`` rises with each order of one leader.

    ``generation`` is that of the document that wants the version, 0 for
    a load ahead of any document.
    """

    service: str
    kind: Kind
    version: str
    generation: int
    fencing: int
    number: int


class Failed(typing.NamedTuple):
    """A version that an engine failed to take under one generation."""

    version: str
    generation: int


class Report(typing.NamedTuple):
    """What an agent knows of its engine.

    ``version`` was read from the engine, "" if it did not answer.
    ``fencing`` and ``number`` are those of the last order admitted.
    ``sequence`` rises with each report, also over restarts.
    """

    vm_id: str
    version: str
    loaded: list[str]
    failed: list[Failed]
    activity: Activity
    fencing: int
    number: int
    sequence: int


class Refusal(typing.NamedTuple):
    """An agent's door refused an order; ``highest`` is what it knows."""

    vm_id: str
    highest: int


class Target(typing.NamedTuple):
    """An order and the agent that it is for."""

    vm_id: str
    address: str
    order: Order


class Batch(typing.NamedTuple):
    """Asks a daemon of a failure domain to pass orders on there."""

    targets: list[Target]


class BatchReport(typing.NamedTuple):
    """What became of a batch; ``missing`` gave no answer."""

    reports: list[Report]
    refusals: list[Refusal]
    missing: list[str]


KINDS = (Order, Report, Refusal, Batch, BatchReport)
