"""Typed record lines of callers, trainers, stand-ins and operators.

Each is one JSON object a line. Fields that the auditor does not need
may be there too; a field that it needs and that is missing or of the
wrong type makes the line malformed.
"""

import typing

import pydantic
import typing_extensions


class _Line(typing_extensions.TypedDict):
    at: float
    who: str


class EngineStart(_Line):
    """An engine took an attempt; `prompt` is its digest."""

    kind: typing.Literal["start"]
    request_id: str
    prompt: str
    seed: int
    index: int
    first: int


class EngineToken(_Line):
    """An engine made `count` tokens from place `first` on."""

    kind: typing.Literal["token"]
    request_id: str
    first: int
    count: int
    version: str


class EngineFinish(_Line):
    """An attempt ended; `tokens` counts those before `first` too."""

    kind: typing.Literal["finish"]
    request_id: str
    reason: typing.Literal["stop", "length", "cut", "cancelled"]
    first: int
    tokens: int


class EngineCancel(_Line):
    """An engine was told to give an attempt up."""

    kind: typing.Literal["cancel"]
    request_id: str


class EngineOrder(_Line):
    """An engine got an order."""

    kind: typing.Literal["order"]
    order: str
    argument: str
    fencing: int
    outcome: str


class EngineSwap(_Line):
    """An engine began to use another weight version."""

    kind: typing.Literal["swap"]
    version: str


class PlainRun(_Line):
    """A plain service ran a non-idempotent call."""

    kind: typing.Literal["run"]
    request_id: str
    key: str
    path: str
    digest: str


class PlainLookup(_Line):
    """A plain service answered an idempotent call."""

    kind: typing.Literal["lookup"]
    request_id: str
    path: str


class ScriptedFaults(_Line):
    """A stand-in was told to fail."""

    kind: typing.Literal["faults"]


class SubmittedGroup(typing_extensions.TypedDict):
    """One group of a submitted step."""

    group: str
    prompt: str
    samples: int
    max_tokens: int
    seed: int


class TrainerSubmit(_Line):
    """A trainer's step was accepted."""

    kind: typing.Literal["submit"]
    run: str
    step: int
    service: str
    staleness_bound: int
    groups: list[SubmittedGroup]


class TrainerVersion(_Line):
    """The trainer now has `version`."""

    kind: typing.Literal["version"]
    run: str
    version: str


class CollectedSample(typing_extensions.TypedDict):
    """A sample as the trainer received it."""

    position: int
    step: int
    group: str
    index: int
    text: str
    tokens: int
    versions: list[str]


class TrainerCollect(_Line):
    """A trainer asked from `cursor` and took in the samples.

    It had nothing else to do for `idle_s` seconds of it.
    """

    kind: typing.Literal["collect"]
    run: str
    cursor: int
    next_cursor: int
    idle_s: float
    samples: list[CollectedSample]


class CallerAsk(_Line):
    """A caller sent a request; `ask` is its own number of it."""

    kind: typing.Literal["ask"]
    ask: str
    entry: str
    service: str
    method: str
    path: str
    key: str
    idempotent: bool
    prompt: str
    seed: int
    max_tokens: int
    body: str


class CallerAnswer(_Line):
    """What became of an ask; `status` 0 is a lost connection.

    `whole` says that the caller took the answer for whole. `text` is
    the generated text, or the body of a plain service's answer.
    """

    kind: typing.Literal["answer"]
    ask: str
    request_id: str
    status: int
    whole: bool
    text: str
    verdict: str
    reason: str
    latency_s: float


class CallerLeft(_Line):
    """A caller gave its ask up on purpose."""

    kind: typing.Literal["left"]
    ask: str


class OperatorApply(_Line):
    """An operator's document got its final outcome."""

    kind: typing.Literal["apply"]
    service: str
    change_id: str
    outcome: typing.Literal["in-force", "refused", "unknown"]
    generation: int
    version: str


class OperatorLeave(_Line):
    """A backend server was told to leave the service."""

    kind: typing.Literal["leave"]
    server: str


class OperatorStop(_Line):
    """A daemon got SIGTERM; `server` is the one it stands beside."""

    kind: typing.Literal["stop"]
    daemon: str
    server: str


class OperatorStopped(_Line):
    """A daemon that got SIGTERM has ended."""

    kind: typing.Literal["stopped"]
    daemon: str
    code: int


class OperatorKill(_Line):
    """A process was killed on purpose."""

    kind: typing.Literal["kill"]
    process: str


class EngineCrash(_Line):
    """An engine lost all it had."""

    kind: typing.Literal["crash"]


class Probe(_Line):
    """What one daemon has in force for a service."""

    kind: typing.Literal["probe"]
    daemon: str
    service: str
    generation: int


Record = typing.Annotated[
    EngineStart
    | EngineToken
    | EngineFinish
    | EngineCancel
    | EngineOrder
    | EngineSwap
    | PlainRun
    | PlainLookup
    | ScriptedFaults
    | TrainerSubmit
    | TrainerVersion
    | TrainerCollect
    | CallerAsk
    | CallerAnswer
    | CallerLeft
    | OperatorApply
    | OperatorLeave
    | OperatorStop
    | OperatorStopped
    | OperatorKill
    | EngineCrash
    | Probe,
    pydantic.Field(discriminator="kind"),
]

ADAPTER = pydantic.TypeAdapter(Record)
