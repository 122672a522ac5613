"""Messages by which a rollout's leader has agents load weight versions."""

import enum
import typing


class Kind(enum.StrEnum):
    """What an order requests from an agent."""

    STATUS = "status"
    LOAD = "load"
    ACTIVATE = "activate"


class Activity(enum.StrEnum):
    """What an agent is doing with its engine's weights."""

    IDLE = "idle"
    LOADING = "loading"
    ACTIVATING = "activating"
    WAITING = "waiting"


class Order(typing.NamedTuple):
    """An order; ``number`` increases with each order of a leader.

    ``generation`` is that of the document that requires the version, or 0
    if the version is loaded before any document requires it.
    """

    service: str
    kind: Kind
    version: str
    generation: int
    fencing: int
    number: int


class Failed(typing.NamedTuple):
    """A version that an engine failed to load under a generation."""

    version: str
    generation: int


class Report(typing.NamedTuple):
    """The state of an agent's engine.

    ``version`` was read from the engine; it is "" if the engine did not
    answer. ``fencing`` and ``number`` are those of the last order that the
    agent accepted. ``sequence`` increases with each report, also across
    restarts.
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
    """States that an agent's fencing check rejected an order.

    ``highest`` is the highest fencing number that the agent has received.
    """

    vm_id: str
    highest: int


class Target(typing.NamedTuple):
    """An order and the agent that should receive it."""

    vm_id: str
    address: str
    order: Order


class Batch(typing.NamedTuple):
    """Asks a daemon to forward orders within its failure domain."""

    targets: list[Target]


class BatchReport(typing.NamedTuple):
    """The results of a batch; ``missing`` lists VMs that did not answer."""

    reports: list[Report]
    refusals: list[Refusal]
    missing: list[str]


KINDS = (Order, Report, Refusal, Batch, BatchReport)
