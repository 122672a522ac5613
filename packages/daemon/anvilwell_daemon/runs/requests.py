"""What trainers send, checked."""

import json
import typing

import pydantic
import typing_extensions

from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import versions

MAX_WAIT_S = 60.0
MAX_LIMIT = 4096
DEFAULT_LIMIT = 256

Name = typing.Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")
]
Number = typing.Annotated[int, pydantic.Field(ge=0, strict=True)]
Many = typing.Annotated[int, pydantic.Field(ge=1, le=1 << 22, strict=True)]


class GroupBody(typing_extensions.TypedDict):
    """One group of a step."""

    group: Name
    prompt: str
    samples: Many
    max_tokens: Many
    seed: typing_extensions.NotRequired[Number]


class StepBody(typing_extensions.TypedDict):
    """The body of a step."""

    service: Name
    groups: list[GroupBody]


class VersionBody(typing_extensions.TypedDict):
    """The body that tells a version."""

    version: str


class CollectQuery(typing.NamedTuple):
    """The query of a collect."""

    cursor: typing.Annotated[int, pydantic.Field(ge=0)] = 0
    wait_s: typing.Annotated[float, pydantic.Field(ge=0, le=MAX_WAIT_S)] = 0.0
    limit: typing.Annotated[int, pydantic.Field(ge=1, le=MAX_LIMIT)] = (
        DEFAULT_LIMIT
    )


STEP = pydantic.TypeAdapter(StepBody)
VERSION = pydantic.TypeAdapter(VersionBody)
COLLECT = pydantic.TypeAdapter(CollectQuery)
NAME = pydantic.TypeAdapter(Name)
_STEP_TUPLE = pydantic.TypeAdapter(identity.Step)


def step(run, number, body):
    """Return the checked ``identity.Step`` of a `StepBody`."""
    groups = tuple(
        identity.Group(
            group["group"],
            group["prompt"],
            group["samples"],
            group["max_tokens"],
            group.get("seed", 0),
        )
        for group in body["groups"]
    )
    found = identity.Step(run, number, body["service"], groups)
    identity.check_step(found)
    return found


def version(body):
    """Return the checked version of a `VersionBody`."""
    versions.ordinal(body["version"])
    return body["version"]


def encode_step(found):
    """Return `found` as JSON bytes for another entry."""
    return json.dumps(found).encode()


def decode_step(data):
    """Return the ``identity.Step`` in JSON bytes."""
    return _STEP_TUPLE.validate_json(data)
