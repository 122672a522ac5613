"""The groups of a trainer's steps, and the samples of them."""

import typing

import pydantic
import typing_extensions

from anvilwell_standins.engine import text as texts


class Plan(typing.NamedTuple):
    """What a trainer does; times in seconds."""

    run: str
    service: str
    model: str
    steps: int = 3
    groups: int = 4
    samples: int = 4
    max_tokens: int = 64
    seed: int = 1
    ahead: int = 1
    staleness_bound: int = 2
    version_every: int = 1
    train_s: float = 0.1
    limit_s: float = 120.0
    crash_steps: frozenset = frozenset()


class Group(typing_extensions.TypedDict):
    """Samples of one prompt."""

    group: str
    prompt: str
    samples: int
    max_tokens: int
    seed: int


class Sample(typing_extensions.TypedDict):
    """A sample as it is collected; further fields are not looked at."""

    position: int
    step: int
    group: str
    index: int
    text: str
    tokens: int
    versions: list[str]


class Collected(typing_extensions.TypedDict):
    """The answer to a collect."""

    samples: list[Sample]
    next_cursor: int


COLLECTED = pydantic.TypeAdapter(Collected)


def groups(plan, step):
    """Return the groups of `step`; every prompt is unique to it."""
    return [
        Group(
            group=f"g{number}",
            prompt=f"draft of {plan.run}, step {step}, group {number}",
            samples=plan.samples,
            max_tokens=plan.max_tokens,
            seed=plan.seed + step,
        )
        for number in range(plan.groups)
    ]


def sample_ids(plan, step):
    """Return the ids of all samples of `step`."""
    return {
        (step, f"g{number}", index)
        for number in range(plan.groups)
        for index in range(plan.samples)
    }


def sample_id(sample):
    """Return a collected sample's id."""
    return (sample["step"], sample["group"], sample["index"])


def problem(plan, sample):
    """Return what is wrong with a collected sample, or ""."""
    if sample_id(sample) not in sample_ids(plan, sample["step"]):
        return "was never asked for"
    asked = {one["group"]: one for one in groups(plan, sample["step"])}
    group = asked[sample["group"]]
    own = texts.text(
        group["prompt"],
        group["seed"] + sample["index"],
        0,
        sample["tokens"],
    )
    if sample["text"] != own:
        return "has a text that is not its own"
    if not 0 < sample["tokens"] <= plan.max_tokens:
        return f"has {sample['tokens']} tokens"
    if not sample["versions"]:
        return "names no version"
    return ""
