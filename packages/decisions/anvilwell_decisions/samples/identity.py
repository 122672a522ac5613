"""What names a step, a group and a sample."""

import itertools
import typing

from anvilwell_kernel import exceptions

# Comes before every step; steps count from 0.
NO_STEP = -1


class SampleId(typing.NamedTuple):
    """Names one sample for ever, whatever attempts it takes."""

    run: str
    step: int
    group: str
    index: int

    def __str__(self):
        """Return the name that trainers and logs see."""
        return f"{self.run}/{self.step}/{self.group}/{self.index}"


class Group(typing.NamedTuple):
    """Samples of one prompt; they share the engine's prefix cache."""

    group: str
    prompt: str
    samples: int
    max_tokens: int
    seed: int = 0


class Step(typing.NamedTuple):
    """What a trainer submits as one step of its run."""

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
    """Raise ``exceptions.BadRequest`` if `step` names no sample set."""
    names = [group.group for group in step.groups]
    twice = sorted({name for name in names if names.count(name) > 1})
    if twice:
        raise exceptions.BadRequest(
            f"groups {', '.join(twice)} are named twice; give each "
            "group of a step a name of its own"
        )
    empty = itertools.chain.from_iterable(
        [group.group]
        for group in step.groups
        if group.samples < 1 or group.max_tokens < 1
    )
    wrong = sorted(empty)
    if wrong or not step.groups:
        raise exceptions.BadRequest(
            f"groups {', '.join(wrong) or '(none)'} ask for no sample; "
            "samples and max_tokens must be 1 or more"
        )
