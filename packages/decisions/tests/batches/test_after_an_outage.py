"""Compares orders of the batches after an outage, in virtual time.

When all processes are back, each of four trainers has two steps in progress:
the earlier one is half complete, the later one has barely begun. Together they
have about 580 items for 228 slots. A trainer needs nine tenths of a step's
groups and abandons a step after twelve seconds. One second after a step is
over it requests the next but one. A group that comes late is worth less.
"""

import heapq
import itertools
import random
import typing

from anvilwell_decisions.batches import item_order
import pytest

SLOTS = 228
TRAINERS = 4
GROUPS = 12
ITEMS = 8
WANTED = 11
EVENT_S = 0.04
MAX_EVENTS = 192
ABANDON_S = 12.0
DUE_S = 7.5
IN_TIME_S = 8.2
AGES_S = (4.5, 6.0, 7.0, 9.0)
TRAIN_S = 1.0
LAST_REQUEST_S = 20.0
LATE_WORTH = 1.5 / 4


class _Step:
    def __init__(self, rng, trainer, requested_at, complete_groups):
        self.trainer = trainer
        self.requested_at = requested_at
        self.is_over = False
        self.missing_items = {}
        self.draw = rng.random()
        self.worth = self.listed = complete_groups
        for group in range(complete_groups, GROUPS):
            self.missing_items[group] = ITEMS
        self.waiting = [
            (_length_s(rng), group)
            for group in self.missing_items
            for _ in range(ITEMS)
        ]


class _Policy(typing.NamedTuple):
    """A sort key of steps, as a function of step, random draw and time."""

    name: str
    key: typing.Callable


def _by_product_order(step, draw, now):
    late_at = item_order.too_late_at(step.requested_at, DUE_S)
    return item_order.sort_key((step.requested_at,), now > late_at, False)


POLICIES = (
    _Policy("product", _by_product_order),
    _Policy("submitted first", lambda step, draw, now: step.requested_at),
    _Policy("opened first", lambda step, draw, now: draw),
    _Policy("submitted last", lambda step, draw, now: -step.requested_at),
)


def _length_s(rng):
    events = min(MAX_EVENTS, rng.lognormvariate(3.0, 0.9))
    return EVENT_S * (events * 5 if rng.random() < 0.08 else events)


class _Simulation:
    """A run with one policy and one seed; future events are kept in a heap."""

    def __init__(self, policy, seed, age_s):
        self._policy = policy
        self._rng = random.Random(seed)
        self._count = itertools.count()
        self._events = []
        self._steps = []
        self._running = 0
        self._now = 0.0
        for trainer in range(TRAINERS):
            requested_at = 0.1 * trainer - age_s
            self._request(trainer, requested_at, GROUPS // 2)
            self._request(trainer, requested_at + 4.0)

    def worth(self):
        """Return the worth of all groups, in units of a group in time."""
        self._start()
        while self._events:
            self._now, _, action, *args = heapq.heappop(self._events)
            action(*args)
            self._start()
        return sum(step.worth for step in self._steps)

    def _at(self, at, action, *args):
        heapq.heappush(self._events, (at, next(self._count), action, *args))

    def _request(self, trainer, requested_at, complete_groups=0):
        step = _Step(self._rng, trainer, requested_at, complete_groups)
        self._steps.append(step)
        self._at(max(self._now, requested_at + ABANDON_S), self._end, step)

    def _end(self, step):
        if step.is_over:
            return
        step.is_over = True
        at = max(self._now + TRAIN_S, step.requested_at + 8.0)
        if at < LAST_REQUEST_S:
            self._at(at, self._request, step.trainer, at)

    def _start(self):
        """Give the free slots to the steps' items."""
        for step in sorted(self._steps, key=self._key):
            while step.waiting and not step.is_over and self._running < SLOTS:
                length_s, group = step.waiting.pop()
                self._running += 1
                self._at(self._now + length_s, self._complete, step, group)

    def _key(self, step):
        return self._policy.key(step, step.draw, self._now)

    def _complete(self, step, group):
        """Process an item whose text is complete."""
        self._running -= 1
        step.missing_items[group] -= 1
        if step.is_over or step.missing_items[group]:
            return
        step.listed += 1
        is_late = self._now - step.requested_at > IN_TIME_S
        step.worth += LATE_WORTH if is_late else 1.0
        if step.listed >= WANTED:
            self._end(step)


@pytest.mark.parametrize("other", POLICIES[1:], ids=lambda policy: policy.name)
def test_new_items_of_late_steps_go_last_and_others_as_submitted(other):
    """The earlier steps were requested 4.5 to 9 s before."""
    cases = [(seed, age_s) for seed in range(10) for age_s in AGES_S]
    product, alternative = (
        sum(_Simulation(policy, *case).worth() for case in cases)
        for policy in (POLICIES[0], other)
    )

    assert product > alternative
