"""Identifies steps, groups and samples of a run."""

import itertools
import typing

from anvilwell_kernel import exceptions

# Sentinel that sorts before every step, as steps count from 0.
NO_STEP = -1


class SampleId(typing.NamedTuple):
    """Identifies a sample permanently, across all attempts to generate it."""

    run: str
    step: int
    group: str
    index: int

    def __str__(self):
        """Return the id as trainers and logs show it."""
        return f"{self.run}/{self.step}/{self.group}/{self.index}"


class Group(typing.NamedTuple):
    """Samples of one prompt, which share a cached prefix."""

    group: str
    prompt: str
    samples: int
    max_tokens: int
    seed: int = 0


class Step(typing.NamedTuple):
    """One step of a run, as its trainer submits it."""

    run: str
    step: int
    service: str
    groups: tuple[Group, ...]

    def sample_ids(self):
        """Return the ids of all samples of the step."""
        return [
            SampleId(self.run, self.step, group.group, index)
            for group in self.groups
            for index in range(group.samples)
        ]


def check_step(step):
    """Raise ``exceptions.BadRequest`` if the groups of `step` are invalid."""
    names = [group.group for group in step.groups]
    twice = sorted({name for name in names if names.count(name) > 1})
    if twice:
        raise exceptions.BadRequest(
            f"groups {', '.join(twice)} appear more than once; give "
            "each group of a step its own name"
        )
    empty = itertools.chain.from_iterable(
        [group.group]
        for group in step.groups
        if group.samples < 1 or group.max_tokens < 1
    )
    wrong = sorted(empty)
    if wrong or not step.groups:
        raise exceptions.BadRequest(
            f"groups {', '.join(wrong) or '(none)'} request no sample; "
            "samples and max_tokens must be 1 or more"
        )
