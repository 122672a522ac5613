"""What a process believes in the moment after its VM was suspended.

The steady clock stands still while a VM is suspended, and others go on:
they take over what it held once its lease has lapsed. An event loop that
goes by that clock takes a renewal of seven seconds ago for one of a
moment ago. Found by reading the code, and shown by these tests: with the
loop's usual clock, the first two fail.
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
    """Goes on with the steady clock, and while the VM is suspended."""

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
    """Renews at once; ``in_get`` is called while a read is under way."""

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


def test_what_was_renewed_before_is_not_believed_until_it_is_again(
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


def test_no_order_follows_a_claim_that_was_read_before(boot_clock):
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


def test_what_was_due_meanwhile_is_over_at_once(boot_clock):
    async def scenario():
        loop = asyncio.get_running_loop()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(SUSPENDED_S):
                boot_clock.suspend()
                loop.call_soon(lambda: None)
                await loop.create_future()

    _run(scenario())


def test_an_entry_that_heard_nobody_while_suspended_stands_in_for_nobody(
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
        usable=lambda: [replica], replicas_by_id={"r1": replica}
    )

    async def scenario():
        heard = asyncio.get_running_loop().time()
        orderer = _RecordingOrderer(
            "entry-1",
            directory,
            types.SimpleNamespace(wanted_by_model={"m": 2}),
            types.SimpleNamespace(has_duty=lambda domain: True),
            lambda address: heard,
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
