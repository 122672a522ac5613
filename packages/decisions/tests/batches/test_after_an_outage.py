"""Which batch goes first after an outage, replayed in virtual time.

Four trainers have two steps under way each as all processes come back: the
earlier one half whole, the later one hardly begun. Some 580 items want 228
places. A trainer needs nine tenths of a step's groups, gives a step up
after twelve seconds, and asks for the next but one a second after that. A
group that comes late earns less.
"""

import heapq
import itertools
import random
import typing

from anvilwell_decisions.batches import item_order
import pytest

PLACES = 228
TRAINERS = 4
GROUPS = 12
ITEMS = 8
WANTED = 11
EVENT_S = 0.04
MOST_EVENTS = 192
GIVE_UP_S = 12.0
DUE_S = 7.5
IN_TIME_S = 8.2
AGES_S = (4.5, 6.0, 7.0, 9.0)
TRAIN_S = 1.0
LAST_ASK_S = 20.0
LATE_WORTH = 1.5 / 4


class _Step:
    def __init__(self, rng, trainer, asked_at, whole):
        self.trainer = trainer
        self.asked_at = asked_at
        self.is_over = False
        self.lacking = {}
        self.draw = rng.random()
        self.worth = self.listed = whole
        for group in range(whole, GROUPS):
            self.lacking[group] = ITEMS
        self.waiting = [
            (_length_s(rng), group)
            for group in self.lacking
            for _ in range(ITEMS)
        ]


class _Way(typing.NamedTuple):
    """How steps are sorted, and what is chosen at random for one."""

    name: str
    key: typing.Callable


def _kept(step, draw, now):
    late_at = item_order.too_late_at(step.asked_at, DUE_S)
    return item_order.sort_key((step.asked_at,), now > late_at, False)


WAYS = (
    _Way("kept", _kept),
    _Way("submitted first", lambda step, draw, now: step.asked_at),
    _Way("opened first", lambda step, draw, now: draw),
    _Way("submitted last", lambda step, draw, now: -step.asked_at),
)


def _length_s(rng):
    events = min(MOST_EVENTS, rng.lognormvariate(3.0, 0.9))
    return EVENT_S * (events * 5 if rng.random() < 0.08 else events)


class _Play:
    """One way with one seed; what happens next lies in a heap."""

    def __init__(self, way, seed, age_s):
        self._way = way
        self._rng = random.Random(seed)
        self._count = itertools.count()
        self._events = []
        self._steps = []
        self._running = 0
        self._now = 0.0
        for trainer in range(TRAINERS):
            asked_at = 0.1 * trainer - age_s
            self._ask(trainer, asked_at, GROUPS // 2)
            self._ask(trainer, asked_at + 4.0)

    def worth(self):
        """Return what all groups earned, in groups that came in time."""
        self._start()
        while self._events:
            self._now, _, action, *args = heapq.heappop(self._events)
            action(*args)
            self._start()
        return sum(step.worth for step in self._steps)

    def _at(self, at, action, *args):
        heapq.heappush(self._events, (at, next(self._count), action, *args))

    def _ask(self, trainer, asked_at, whole=0):
        step = _Step(self._rng, trainer, asked_at, whole)
        self._steps.append(step)
        self._at(max(self._now, asked_at + GIVE_UP_S), self._end, step)

    def _end(self, step):
        if step.is_over:
            return
        step.is_over = True
        at = max(self._now + TRAIN_S, step.asked_at + 8.0)
        if at < LAST_ASK_S:
            self._at(at, self._ask, step.trainer, at)

    def _start(self):
        """Give the free places to the steps' items."""
        for step in sorted(self._steps, key=self._key):
            while step.waiting and not step.is_over and self._running < PLACES:
                length_s, group = step.waiting.pop()
                self._running += 1
                self._at(self._now + length_s, self._whole, step, group)

    def _key(self, step):
        return self._way.key(step, step.draw, self._now)

    def _whole(self, step, group):
        """Take in an item that is whole."""
        self._running -= 1
        step.lacking[group] -= 1
        if step.is_over or step.lacking[group]:
            return
        step.listed += 1
        is_late = self._now - step.asked_at > IN_TIME_S
        step.worth += LATE_WORTH if is_late else 1.0
        if step.listed >= WANTED:
            self._end(step)


@pytest.mark.parametrize("other", WAYS[1:], ids=lambda way: way.name)
def test_new_items_of_late_steps_go_last_and_others_as_submitted(other):
    """The earlier steps were asked between 4.5 and 9 s ago."""
    plays = [(seed, age_s) for seed in range(10) for age_s in AGES_S]
    kept, instead = (
        sum(_Play(way, *play).worth() for play in plays)
        for way in (WAYS[0], other)
    )

    assert kept > instead
