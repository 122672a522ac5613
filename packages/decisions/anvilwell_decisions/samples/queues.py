"""Queues the samples of one run that wait for a replica."""

import collections
import typing

import sortedcontainers

from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import lengths
from anvilwell_decisions.samples import training


class Pending(typing.NamedTuple):
    """A waiting sample with its predicted length in tokens."""

    sample: identity.SampleId
    prompt: str
    max_tokens: int
    predicted: int


class _Group:
    """Waiting samples of a group; `prefix_replica` has cached its prefix."""

    __slots__ = (
        "key",
        "max_tokens",
        "prefix_replica",
        "prompt",
        "scouted",
        "waiting",
    )

    def __init__(self, prompt, max_tokens):
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.waiting = collections.deque()
        self.prefix_replica = None
        self.key = None
        self.scouted = False


class RunQueue:
    """Orders a run's groups by earliest step, then longest prediction.

    Parameters
    ----------
    longest_first : bool
        False keeps the order of arrival, for comparison in benchmarks.
    scouts : bool
        Whether one sample of each new prompt (a scout) starts before other
        groups, so that its length improves the prediction for the rest.
    """

    def __init__(self, *, longest_first=True, scouts=True):
        self._scouts = scouts
        self.needed_step = 0
        self.trainer_version = 0
        self.trainer_waits = False
        self.training = training.TrainingTime()
        self.lengths = lengths.LengthPredictor()
        self._longest_first = longest_first
        self._groups_by_id = {}
        self._order = sortedcontainers.SortedList()
        self._arrivals = 0
        self.waiting = 0

    def add(self, sample, prompt, max_tokens):
        """Add `sample` to the queue."""
        group_id = (sample.step, sample.group)
        group = self._groups_by_id.get(group_id)
        if group is None:
            group = _Group(prompt, max_tokens)
            self._groups_by_id[group_id] = group
        group.waiting.append(sample)
        self.waiting += 1
        if group.key is None:
            self._insert(group_id, group)

    def head_step(self):
        """Return the step of the first waiting sample."""
        return self._order[0][0]

    def is_early(self):
        """Return whether the first sample belongs to a step not needed yet."""
        return self.head_step() > self.needed_step

    def prefix_replica(self):
        """Return the replica that cached the first group's prefix, or None."""
        return self._groups_by_id[self._order[0][-1]].prefix_replica

    def take(self, replica):
        """Remove the first sample, for `replica`, and return its `Pending`."""
        group_id = self._order[0][-1]
        group = self._groups_by_id[group_id]
        sample = group.waiting.popleft()
        group.prefix_replica = replica
        self.waiting -= 1
        predicted = self._predict(group)
        if not group.waiting:
            self._order.remove(group.key)
            group.key = None
        elif not group.scouted and not self.lengths.is_known(group.prompt):
            group.scouted = self._scouts
            self._reposition(group_id, group)
        return Pending(sample, group.prompt, group.max_tokens, predicted)

    def remove(self, sample):
        """Remove `sample` from the queue if it is there."""
        group = self._groups_by_id.get((sample.step, sample.group))
        if group is None or sample not in group.waiting:
            return
        group.waiting.remove(sample)
        self.waiting -= 1
        if not group.waiting:
            self._order.remove(group.key)
            group.key = None

    def observe(self, sample, tokens):
        """Record the length of a finished sample and reorder its group."""
        group_id = (sample.step, sample.group)
        group = self._groups_by_id.get(group_id)
        if group is None:
            return
        self.lengths.observe(group.prompt, tokens)
        self._reposition(group_id, group)

    def progress(self, sample, tokens):
        """Record the current length of a running sample; reorder its group."""
        group_id = (sample.step, sample.group)
        group = self._groups_by_id.get(group_id)
        if group is not None and self.lengths.progress(
            group.prompt, tokens, group.max_tokens
        ):
            self._reposition(group_id, group)

    def forget_step(self, step):
        """Remove all groups of a complete step."""
        gone = [i for i in self._groups_by_id if i[0] == step]
        for group_id in gone:
            group = self._groups_by_id.pop(group_id)
            if group.key is not None:
                self._order.remove(group.key)
                self.waiting -= len(group.waiting)

    def _predict(self, group):
        return self.lengths.predict(
            group.prompt, group.max_tokens, scouted=group.scouted
        )

    def _rank(self, group):
        known = self.lengths.is_known(group.prompt)
        if self._scouts and not known and not group.scouted:
            return -group.max_tokens
        return -self._predict(group)

    def _reposition(self, group_id, group):
        if group.key is not None:
            self._order.remove(group.key)
            self._insert(group_id, group)

    def _insert(self, group_id, group):
        self._arrivals += 1
        rank = self._rank(group) if self._longest_first else 0
        group.key = (group_id[0], rank, self._arrivals, group_id)
        self._order.add(group.key)
