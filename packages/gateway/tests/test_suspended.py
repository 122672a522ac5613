"""Tests what a process may assume right after its VM was suspended.

The monotonic clock stands still while a VM is suspended, but other processes
continue and take over what this one held once its lease has lapsed. An event
loop that uses that clock would treat a renewal of seven seconds ago as if it
had just happened. The fault was found by reading the code; with the event
loop's default clock, the first two tests fail.
"""

import asyncio
import time
import types

import pytest

from anvilwell_gateway import engine_claims
from anvilwell_gateway import presence
from anvilwell_gateway import substitute_ordering
from anvilwell_kernel import loops
from anvilwell_outside.ports import keyvalue

ENGINE = "10.0.0.9:80"
SUSPENDED_S = 5.0


class _BootClock:
    """A clock that advances with the monotonic one and during suspensions."""

    def __init__(self):
        self.ahead_s = 0.0

    def read(self, clock):
        assert clock == time.CLOCK_BOOTTIME
        return time.monotonic() + self.ahead_s

    def suspend(self):
        self.ahead_s += SUSPENDED_S


@pytest.fixture
def boot_clock(monkeypatch):
    clock = _BootClock()
    monkeypatch.setattr(time, "clock_gettime", clock.read)
    return clock


def _run(scenario):
    with asyncio.Runner(loop_factory=loops.BootTimeLoop) as runner:
        return runner.run(scenario)


async def _until(condition):
    while not condition():
        await asyncio.sleep(0.01)


class _Store:
    """A store that renews at once and calls ``in_get`` during each read."""

    def __init__(self, entry=None, in_get=None):
        self.entry = entry
        self.in_get = in_get

    async def grant(self, ttl_s):
        return 7

    async def keep_alive(self, lease):
        return True

    async def get(self, key):
        if self.in_get:
            self.in_get()
        return self.entry

    async def swap(self, swaps):
        return keyvalue.SwapResult(True, 9, {})

    async def revoke(self, lease):
        pass


def test_a_renewal_before_the_suspension_does_not_count(
    boot_clock,
):
    async def scenario():
        mine = presence.Presence(_Store(), "entry-1")
        mine.start("10.0.0.1:80")
        await _until(mine.can_confirm_ownership)
        boot_clock.suspend()
        at_once = (
            mine.can_confirm_ownership(),
            mine.is_in_touch(),
            mine.has_answered_recently(),
        )
        await _until(mine.can_confirm_ownership)
        await mine.stop()
        return at_once

    assert _run(scenario()) == (False, False, False)


def test_a_claim_read_before_the_suspension_permits_no_order(boot_clock):
    async def scenario():
        value = engine_claims.cbor2.dumps(engine_claims.EngineClaim("agent"))
        entry = keyvalue.Entry("k", value, 5)
        steady = engine_claims.EngineClaims(_Store(entry), "agent")
        suspended = engine_claims.EngineClaims(
            _Store(entry, boot_clock.suspend), "agent"
        )
        return await steady.obtain_fencing(
            ENGINE
        ), await suspended.obtain_fencing(ENGINE)

    assert _run(scenario()) == (5, None)


def test_timeouts_that_passed_during_the_suspension_expire_at_once(boot_clock):
    async def scenario():
        loop = asyncio.get_running_loop()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(SUSPENDED_S):
                boot_clock.suspend()
                loop.call_soon(lambda: None)
                await loop.create_future()

    _run(scenario())


def test_a_suspended_entry_does_not_treat_agents_as_absent(
    boot_clock,
):
    moved = []

    class _RecordingOrderer(substitute_ordering.SubstituteOrderer):
        async def _load(self, replica, model, had):
            moved.append(replica.replica_id)

    replica = types.SimpleNamespace(
        replica_id="r1",
        address=ENGINE,
        failure_domain="a",
        versions=[types.SimpleNamespace(model="m", version=1)],
    )
    directory = types.SimpleNamespace(
        usable=lambda: [replica],
        may_receive=lambda replica: True,
        replicas_by_id={"r1": replica},
    )

    async def scenario():
        last_contact_at = asyncio.get_running_loop().time()
        orderer = _RecordingOrderer(
            "entry-1",
            directory,
            types.SimpleNamespace(wanted_by_model={"m": 2}),
            types.SimpleNamespace(has_duty=lambda domain: True),
            lambda address: last_contact_at,
            None,
            None,
            dict,
        )
        orderer.check_engines()
        boot_clock.suspend()
        orderer.check_engines()
        await asyncio.sleep(0)
        assert not moved
        boot_clock.ahead_s += substitute_ordering.CHECK_INTERVAL_S
        orderer.check_engines()
        await asyncio.sleep(0)
        assert not moved
        for _ in range(8):
            boot_clock.ahead_s += substitute_ordering.CHECK_INTERVAL_S
            orderer.check_engines()
        await asyncio.sleep(0)
        assert moved[:1] == ["r1"]

    _run(scenario())
