"""Simulates what many entries send to one replica that becomes cold.

Time is virtual. The replica turns cold without notice, and each entry learns
of it later. Each entry decides with its own view of the other entries.
"""

import bisect
import random
import typing

from anvilwell_decisions.duties import rendezvous
from anvilwell_decisions.requests import cold_allowances
from anvilwell_decisions.requests import cold_states
from anvilwell_decisions.requests import send_windows

LIMIT = 21
SLOTS = 12
REPLICA = "replica"
COLD_AT_S = 4.0
COLD_S = 3.0
END_S = 14.0
TICK_S = 0.02
# When the fault of a scenario begins, in seconds, and how long a suspended
# entry stands still.
FAULT_AT_S = 3.0
SUSPENDED_S = 6.0
# When an entry stops to rely on its lease after its last contact with the
# store, when the lease lapses, and how much later others have learned of it.
CONTACT_S = 2.8
LEASE_S = 3.5
NEWS_S = 1.5

SCENARIOS = (
    "no fault",
    "owner killed",
    "owner leaves",
    "owner cut off",
    "owner suspended",
    "two lists of homes",
)


class Approach(typing.NamedTuple):
    """A way to divide the limit: the shares for a warm and a cold replica."""

    name: str
    warm: cold_allowances.Shares
    cold: cold_allowances.Shares


_HALF = cold_allowances.Shares.from_limit(LIMIT, True, False)
_EACH = cold_allowances.Shares.from_limit(LIMIT, False, True)
APPROACHES = (
    Approach("one sender, half of the limit", _HALF, _HALF),
    Approach(
        "one sender, more while warm",
        cold_allowances.Shares(16, 4),
        cold_allowances.Shares(10, 4),
    ),
    Approach("a share for each entry", _EACH, _EACH),
)


class Figures(typing.NamedTuple):
    """Requests in the worst second, in all of `COLD_S`, and the time to fill.

    ``filled_s`` is how long after it turned cold the replica had been sent as
    many requests as it has slots, None if it never was.
    """

    worst: int
    admitted: int
    filled_s: float | None


class _Entry:
    """One entry and its changing view of the others."""

    def __init__(self, vm_id, vm_ids, rng):
        self.vm_id = vm_id
        self.is_running = lambda now: True
        self.contact_until = float("inf")
        # Changes of the view: the time, the entries and the home.
        self.views = [(float("-inf"), vm_ids, vm_ids[0])]
        self.learns_at = COLD_AT_S + rng.uniform(
            0.0, cold_states.MAX_REGISTRATION_AGE_S
        )
        self._ownership = cold_allowances.Ownership(vm_id)
        self._shares = {}
        self._window = send_windows.SendWindow()

    def sent(self, approach, now):
        """Return how many requests the entry sends at `now`."""
        if not self.is_running(now):
            return 0
        is_cold = now >= self.learns_at
        shares = approach.cold if is_cold else approach.warm
        allowance = cold_allowances.allowance(
            shares, self._sender(shares, now), is_cold, now
        )
        count = max(0, allowance - self._window.used(now))
        for _ in range(count):
            self._window.record(now)
        return count

    def _sender(self, shares, now):
        while len(self.views) > 1 and self.views[1][0] <= now:
            self.views.pop(0)
        since, vm_ids, home = self.views[0]
        self._ownership.set_homes((home,), since)
        return cold_allowances.Sender(
            self._ownership.owned_since(REPLICA) if shares.owner else None,
            max(0.0, now - self.contact_until),
            float("-inf"),
            other_share=self._other_share(shares, vm_ids, home),
        )

    def _other_share(self, shares, vm_ids, home):
        key = (home, shares)
        if key not in self._shares:
            owner = home if shares.owner else None
            others = [one for one in vm_ids if one != owner]
            self._shares[key] = cold_allowances.other_share(
                self.vm_id, REPLICA, others, shares.others
            )
        return self._shares[key]

    def may_send(self, approach):
        """Return whether the entry may send anything in any of its views."""
        return any(
            home == self.vm_id or self._other_share(shares, vm_ids, home)
            for _, vm_ids, home in self.views
            for shares in (approach.warm, approach.cold)
        )


def run(approach, scenario, count, seed=1, only_home=False):
    """Return the `Figures` of one scenario with `count` entries.

    Each entry always has requests to send; with ``only_home``, only the home
    has any.
    """
    rng = random.Random(seed)
    vm_ids = rendezvous.rank_vms(
        f"home {seed}", [f"e{number}" for number in range(count)]
    )
    entries = [_Entry(vm_id, vm_ids, rng) for vm_id in vm_ids]
    _apply_fault(entries, scenario, rng)
    senders = [
        entry
        for entry in (entries[:1] if only_home else entries)
        if entry.may_send(approach)
    ]
    times = []
    for tick in range(int(END_S / TICK_S)):
        now = tick * TICK_S
        for entry in rng.sample(senders, len(senders)):
            times += [now] * entry.sent(approach, now)
    return _figures(times[bisect.bisect_left(times, COLD_AT_S) :])


def _apply_fault(entries, scenario, rng):
    owner, others = entries[0], entries[1:]
    vm_ids = [entry.vm_id for entry in others]
    without = (vm_ids, vm_ids[0])
    lapses_at = FAULT_AT_S + LEASE_S
    if scenario == "owner killed":
        owner.is_running = lambda now: now < FAULT_AT_S
    elif scenario == "owner leaves":
        owner.is_running = lambda now: now <= COLD_AT_S
        lapses_at = COLD_AT_S
    elif scenario == "owner cut off":
        owner.contact_until = FAULT_AT_S + CONTACT_S
        owner.learns_at = float("inf")
    elif scenario == "owner suspended":
        owner.contact_until = FAULT_AT_S + CONTACT_S
        resumes_at = FAULT_AT_S + SUSPENDED_S
        owner.is_running = lambda now: not FAULT_AT_S <= now < resumes_at
        owner.learns_at = float("inf")
    elif scenario == "two lists of homes":
        for entry in others[::2]:
            entry.views = [(float("-inf"), *without)]
        return
    if scenario != "no fault":
        for entry in others:
            news_at = lapses_at + rng.uniform(0.0, NEWS_S)
            entry.views.append((news_at, *without))


def _figures(times):
    worst = max(
        (
            bisect.bisect_right(times, start + 1.0 - TICK_S / 2) - index
            for index, start in enumerate(times)
        ),
        default=0,
    )
    admitted = bisect.bisect_left(times, COLD_AT_S + COLD_S)
    filled_s = None
    if len(times) >= SLOTS:
        filled_s = times[SLOTS - 1] - COLD_AT_S
    return Figures(worst, admitted, filled_s)
