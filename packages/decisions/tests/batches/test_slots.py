"""Runs three trainers' steps at one home and at several, in virtual time.

Every few seconds each trainer submits a step of about 1.4 items for each slot,
with lengths that have a long tail. The trainers submit one after the other or
all at once.
"""

import collections
import random

from anvilwell_decisions.batches import slots as home_slots
import pytest

SLOTS = 8
TICK_S = 0.1
# A home sends requests every second tick and has the responses at the next.
REQUEST_TICKS = 2
# Duration of a lease: for this long a home that crashed or was cut off keeps
# its share of the replicas.
LEASE_TICKS = 35
MODELS = 3


class _Home:
    """One home's slots, and the items that wait and run there."""

    def __init__(self, vm_id):
        self.vm_id = vm_id
        self.slots = home_slots.HomeSlots(vm_id)
        self.waiting = collections.deque()
        self.running = collections.Counter()
        self.ends = []
        self.answers = []
        self.is_cut_off = False
        self.is_alive = True


class _Fleet:
    """The replicas of one service and its homes."""

    def __init__(self, replicas, homes):
        self.replicas = [f"r{n}" for n in range(replicas)]
        self.homes = {f"h{n}": _Home(f"h{n}") for n in range(homes)}
        self.tick = 0
        self.max_load = 0
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
                if home.is_alive:
                    self._step(home)
            loads = collections.Counter()
            for home in self.homes.values():
                loads.update(home.running)
            self.max_load = max(self.max_load, *loads.values(), 0)

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
        for replica in self._free_slots_in_order(home):
            if home.waiting:
                item, length_s, since = home.waiting.popleft()
                home.running[replica] += 1
                home.ends.append((self.now + length_s, item, replica))
                self.waits.append(self.now - since)
        if self.tick % REQUEST_TICKS == 0 and not home.is_cut_off:
            self._request_slots(home)

    def _free_slots(self, home, replica):
        limit = home.slots.limit(replica, SLOTS, self.now)
        return limit - home.running[replica]

    def _free_slots_in_order(self, home):
        """Return the replica of each free slot, the emptiest replica first."""
        free_by_replica = {
            one: self._free_slots(home, one) for one in self.replicas
        }
        return [
            replica
            for level in range(SLOTS, 0, -1)
            for replica, free in free_by_replica.items()
            if free >= level
        ]

    def _request_slots(self, home):
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
            if lender.is_cut_off or not lender.is_alive:
                continue
            request = home_slots.SlotRequest(
                "lm", home.vm_id, len(home.waiting), using
            )
            own = [
                one
                for one in self.replicas
                if lender.slots.owner(one) == lender_id
            ]
            free_by_replica = (
                {}
                if lender.waiting
                else {one: self._free_slots(lender, one) for one in own}
            )
            counts = lender.slots.lend(
                request, SLOTS * len(own), free_by_replica, self.now
            )
            home.answers.append((lender_id, counts, self.now))

    @property
    def is_idle(self):
        return not any(
            home.is_alive and (home.waiting or home.ends)
            for home in self.homes.values()
        )


def _simulate(replicas, homes, at_once):
    """Run two steps of each trainer; return the fleet and the item count."""
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
def test_three_homes_serve_three_trainers_as_well_as_one(replicas, at_once):
    one, items = _simulate(replicas, 1, at_once)
    three, _ = _simulate(replicas, MODELS, at_once)

    for fleet in (one, three):
        assert fleet.max_load <= SLOTS
        assert set(fleet.done.values()) == {1}
        assert len(fleet.done) == items
    mean_s = [sum(fleet.waits) / items for fleet in (one, three)]
    # A request to the other homes and its response take 0.3 s.
    assert mean_s[1] < mean_s[0] + 0.3
    assert three.now < 1.1 * one.now


def test_lent_slots_are_soon_returned():
    fleet = _Fleet(30, MODELS)
    fleet.submit("h0", 240, 1)
    fleet.run(0.5)
    lent = sum(fleet.homes["h0"].running.values())
    assert lent > 100
    fleet.submit("h1", 80, 2)
    fleet.run(0.3)
    # Half of its own slots were never lent and are free at once.
    assert sum(fleet.homes["h1"].running.values()) >= 30
    fleet.run(3.0)
    assert not fleet.homes["h1"].waiting
    assert fleet.max_load <= SLOTS


@pytest.mark.parametrize("is_cut_off", [True, False])
def test_a_home_is_lost_while_slots_are_lent(is_cut_off):
    """A home that is cut off keeps running items on the slots it has.

    Its replicas are assigned to other homes meanwhile.
    """
    fleet = _Fleet(30, MODELS)
    for n in range(MODELS):
        fleet.submit(f"h{n}", 60 if n else 160, n)
    fleet.run(0.6)
    gone = fleet.homes["h0"]
    assert gone.running
    gone.is_cut_off = True
    if not is_cut_off:
        gone.is_alive = False
        gone.running.clear()
        gone.waiting.clear()
    fleet.run(LEASE_TICKS * TICK_S)
    fleet.set_homes(["h1", "h2"])
    fleet.submit("h1", 160, 9)
    fleet.run(0.5)
    while not fleet.is_idle:
        fleet.run(TICK_S)

    assert fleet.max_load <= SLOTS + 2
    assert set(fleet.done.values()) == {1}


def test_a_home_is_added_while_the_first_one_runs():
    """The first home reports its items on replicas that it no longer owns."""
    fleet = _Fleet(30, 2)
    fleet.set_homes(["h0"])
    fleet.submit("h0", 240, 1)
    fleet.run(0.2)
    fleet.set_homes(["h0", "h1"])
    fleet.run(2 * REQUEST_TICKS * TICK_S)
    fleet.submit("h1", 100, 2)
    fleet.run(0.3)

    assert fleet.max_load <= SLOTS
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
def test_a_service_has_as_many_homes_as_its_items_need(
    items, cores, link_mbps, homes
):
    capacity = home_slots.item_capacity(cores, link_mbps)
    assert home_slots.homes_needed(items, capacity, MODELS) == homes


def test_replicas_are_assigned_to_homes_that_can_use_them():
    """Guard against slots in a region that their home must not use."""
    home = home_slots.HomeSlots("h1")
    home.set_homes(("h0", "h1"), {"h1": frozenset({"a"})})
    owners_by_domain = {
        domain: {home.owner(f"{domain}{n}", domain) for n in range(20)}
        for domain in ("a", "b")
    }
    assert owners_by_domain == {"a": {"h0", "h1"}, "b": {"h0"}}
    assert home.limit("b0", 8, 0.0, "b") == 0
