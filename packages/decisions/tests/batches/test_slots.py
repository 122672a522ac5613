"""Three trainers' steps at one home and at several, in virtual time.

The load: every few seconds a step of each trainer, some 1.4 items for a
place, lengths with a long tail, one trainer's step at a time or all at once.
"""

import collections
import random

from anvilwell_decisions.batches import slots as home_slots
import pytest

SLOTS = 8
TICK_S = 0.1
# Every second tick a home asks, and has the answer at the next.
ASK_TICKS = 2
# What a home that died or was cut keeps its part for: a lease.
LAPSE_TICKS = 35
MODELS = 3


class _Home:
    """One home's counts, and the items that wait there."""

    def __init__(self, vm_id):
        self.vm_id = vm_id
        self.slots = home_slots.HomeSlots(vm_id)
        self.waiting = collections.deque()
        self.running = collections.Counter()
        self.ends = []
        self.answers = []
        self.is_cut = False
        self.lives = True


class _Fleet:
    """Replicas of one service and its homes."""

    def __init__(self, replicas, homes):
        self.replicas = [f"r{n}" for n in range(replicas)]
        self.homes = {f"h{n}": _Home(f"h{n}") for n in range(homes)}
        self.tick = 0
        self.most = 0
        self.waits = []
        self.done = collections.Counter()
        self.set_homes(self.homes)

    def set_homes(self, vm_ids):
        for home in self.homes.values():
            home.slots.set_homes(tuple(vm_ids))

    @property
    def now(self):
        return self.tick * TICK_S

    def submit(self, vm_id, items, seed):
        lengths = random.Random(seed)
        for n in range(items):
            length_s = min(7.0, lengths.lognormvariate(-0.2, 0.8))
            item = (vm_id, seed, n)
            self.homes[vm_id].waiting.append((item, length_s, self.now))

    def run(self, seconds):
        for _ in range(int(seconds / TICK_S)):
            self.tick += 1
            for home in self.homes.values():
                if home.lives:
                    self._step(home)
            loads = collections.Counter()
            for home in self.homes.values():
                loads.update(home.running)
            self.most = max(self.most, *loads.values(), 0)

    def _step(self, home):
        for end_at, item, replica in [
            e for e in home.ends if e[0] <= self.now
        ]:
            home.ends.remove((end_at, item, replica))
            home.running[replica] -= 1
            self.done[item] += 1
        for lender, counts, asked_at in home.answers:
            home.slots.record_loan(lender, counts, asked_at)
        home.answers = []
        for replica in self._rooms(home):
            if home.waiting:
                item, length_s, since = home.waiting.popleft()
                home.running[replica] += 1
                home.ends.append((self.now + length_s, item, replica))
                self.waits.append(self.now - since)
        if self.tick % ASK_TICKS == 0 and not home.is_cut:
            self._ask(home)

    def _room(self, home, replica):
        limit = home.slots.limit(replica, SLOTS, self.now)
        return limit - home.running[replica]

    def _rooms(self, home):
        """Return each free place's replica, the emptiest first."""
        rooms = {one: self._room(home, one) for one in self.replicas}
        return [
            replica
            for level in range(SLOTS, 0, -1)
            for replica, room in rooms.items()
            if room >= level
        ]

    def _ask(self, home):
        for lender_id in home.slots.lenders:
            lender = self.homes[lender_id]
            using = {
                one: count
                for one, count in home.running.items()
                if count and home.slots.owner(one) == lender_id
            }
            if not (using or home.waiting):
                continue
            home.slots.record_request(lender_id, using, self.now)
            if lender.is_cut or not lender.lives:
                continue
            ask = home_slots.SlotRequest(
                "lm", home.vm_id, len(home.waiting), using
            )
            own = [
                one
                for one in self.replicas
                if lender.slots.owner(one) == lender_id
            ]
            rooms = (
                {}
                if lender.waiting
                else {one: self._room(lender, one) for one in own}
            )
            counts = lender.slots.lend(ask, SLOTS * len(own), rooms, self.now)
            home.answers.append((lender_id, counts, self.now))

    @property
    def is_idle(self):
        return not any(
            home.lives and (home.waiting or home.ends)
            for home in self.homes.values()
        )


def _play(replicas, homes, at_once):
    """Two steps of each trainer; return the fleet and when all is done."""
    fleet = _Fleet(replicas, homes)
    items = int(1.4 * SLOTS * replicas / MODELS)
    for step in range(2):
        for model in range(MODELS):
            fleet.submit(f"h{model % homes}", items, step * MODELS + model)
            fleet.run(0.0 if at_once else 1.5)
        fleet.run(4.0)
    while not fleet.is_idle:
        fleet.run(TICK_S)
    return fleet, 2 * MODELS * items


@pytest.mark.parametrize("replicas", [3, 30, 175])
@pytest.mark.parametrize("at_once", [True, False])
def test_three_homes_serve_three_trainers_like_one(replicas, at_once):
    one, items = _play(replicas, 1, at_once)
    three, _ = _play(replicas, MODELS, at_once)

    for fleet in (one, three):
        assert fleet.most <= SLOTS
        assert set(fleet.done.values()) == {1}
        assert len(fleet.done) == items
    mean_s = [sum(fleet.waits) / items for fleet in (one, three)]
    # A question to the other homes and its answer are a wait of 0.3 s.
    assert mean_s[1] < mean_s[0] + 0.3
    assert three.now < 1.1 * one.now


def test_what_is_lent_is_back_soon_after():
    fleet = _Fleet(30, MODELS)
    fleet.submit("h0", 240, 1)
    fleet.run(0.5)
    lent = sum(fleet.homes["h0"].running.values())
    assert lent > 100
    fleet.submit("h1", 80, 2)
    fleet.run(0.3)
    # Half of its own places are there at once.
    assert sum(fleet.homes["h1"].running.values()) >= 30
    fleet.run(3.0)
    assert not fleet.homes["h1"].waiting
    assert fleet.most <= SLOTS


@pytest.mark.parametrize("is_cut", [True, False])
def test_a_home_that_goes_while_places_are_lent(is_cut):
    """A cut home runs on what it has; its replicas are dealt anew."""
    fleet = _Fleet(30, MODELS)
    for n in range(MODELS):
        fleet.submit(f"h{n}", 60 if n else 160, n)
    fleet.run(0.6)
    gone = fleet.homes["h0"]
    assert gone.running
    gone.is_cut = True
    if not is_cut:
        gone.lives = False
        gone.running.clear()
        gone.waiting.clear()
    fleet.run(LAPSE_TICKS * TICK_S)
    fleet.set_homes(["h1", "h2"])
    fleet.submit("h1", 160, 9)
    fleet.run(0.5)
    while not fleet.is_idle:
        fleet.run(TICK_S)

    assert fleet.most <= SLOTS + 2
    assert set(fleet.done.values()) == {1}


def test_a_home_is_added_while_the_first_one_runs():
    """What the first one has under way elsewhere is told, not filled."""
    fleet = _Fleet(30, 2)
    fleet.set_homes(["h0"])
    fleet.submit("h0", 240, 1)
    fleet.run(0.2)
    fleet.set_homes(["h0", "h1"])
    fleet.run(2 * ASK_TICKS * TICK_S)
    fleet.submit("h1", 100, 2)
    fleet.run(0.3)

    assert fleet.most <= SLOTS
    assert sum(fleet.homes["h1"].running.values()) > 10


@pytest.mark.parametrize(
    ("items", "cores", "link_mbps", "homes"),
    [
        (528, 2.15, 100.0, 1),
        (264, 0.82, 500.0, 1),
        (1400, 2.15, 100.0, 2),
        (1100, 2.15, 0.0, 2),
        (1100, 2.15, 50.0, 2),
        (24000, 2.15, 100.0, 3),
    ],
)
def test_batches_that_one_vm_runs_have_one_home(
    items, cores, link_mbps, homes
):
    carried = home_slots.item_capacity(cores, link_mbps)
    assert home_slots.homes_needed(items, carried, MODELS) == homes
