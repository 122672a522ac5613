"""Tests what happens as soon as the store answers again after an outage."""

import asyncio

from anvilwell_gateway import presence as presences
from anvilwell_gateway import store as stores
from anvilwell_gateway import store_paths
from anvilwell_outside.ports import keyvalue
import pytest

SWAPS = [keyvalue.Swap("k", 0, b"v")]


class _Store(stores.OutageTracker):
    """A store whose calls hang while it is silent, until ``back()``."""

    def __init__(self):
        super().__init__()
        self.is_silent = False
        self.calls = []

    def back(self):
        self.is_silent = False
        self.note_success()

    async def _call(self, name, answer):
        loop = asyncio.get_running_loop()
        self.calls.append((name, loop.time()))
        if self.is_silent:
            self.note_failure()
            await self.cancel_if_hung(asyncio.Event().wait())
        return answer

    async def swap(self, swaps):
        return await self._call("swap", keyvalue.SwapResult(True, 1, {}))

    async def grant(self, ttl_s):
        return await self._call("grant", 7)

    async def get(self, key):
        return await self._call("get", None)

    async def keep_alive(self, lease):
        return await self._call("keep", True)


def test_a_hung_write_is_repeated_once_the_store_answers(run_virtual):
    store = _Store()
    store.is_silent = True

    async def scenario():
        asyncio.get_running_loop().call_later(0.3, store.back)
        await stores.swap_until_known(store, SWAPS, 5.0)

    run_virtual(scenario())
    assert store.calls == [("swap", 0.0), ("swap", 0.3)]


def test_a_call_that_was_just_sent_is_not_cancelled(run_virtual):
    store = _Store()

    async def scenario():
        store.note_failure()
        sent = asyncio.create_task(
            store.cancel_if_hung(
                asyncio.sleep(stores.HANG_THRESHOLD_S, "answer")
            )
        )
        await asyncio.sleep(stores.HANG_THRESHOLD_S / 2)
        store.note_success()
        return await sent

    assert run_virtual(scenario()) == "answer"


def test_a_cancelled_write_is_not_repeated(run_virtual):
    store = _Store()
    store.is_silent = True

    async def scenario():
        writing = asyncio.create_task(
            stores.swap_until_known(store, SWAPS, 5.0)
        )
        await asyncio.sleep(1.0)
        store.back()
        writing.cancel()
        with pytest.raises(asyncio.CancelledError):
            await writing

    run_virtual(scenario())
    assert len(store.calls) == 1


def test_owners_have_time_to_register_again_after_an_outage(run_virtual):
    """Guards against takeovers from owners that are about to re-register.

    All leases had lapsed when the store came back after six seconds. One entry
    registered before the owner of all batches and took them over, and the
    state in the owner's memory was lost.
    """
    store = _Store()

    async def scenario():
        presence = presences.Presence(store, "vm")
        store.listen_regained(presence.renew_soon)
        loop = asyncio.get_running_loop()
        graces = [presence.takeover_grace_s()]
        presence.start("a:1")
        await asyncio.sleep(1.0)
        graces.append(presence.takeover_grace_s())
        store.is_silent = True
        await asyncio.sleep(6.0)
        graces.append(presence.takeover_grace_s())
        back_at = loop.time()
        store.back()
        await asyncio.sleep(0.01)
        assert store.calls[-1] == ("keep", back_at)
        graces.append(presence.takeover_grace_s())
        await asyncio.sleep(presences.REREGISTRATION_S)
        graces.append(presence.takeover_grace_s())
        presence._task.cancel()
        return graces

    never, before, silent, back, after = run_virtual(scenario())
    assert (never, before, after) == (0.0, 0.0, 0.0)
    assert silent == presences.REREGISTRATION_S
    assert back == pytest.approx(presences.REREGISTRATION_S, abs=0.02)


def test_listeners_run_without_the_limits_of_the_call_that_was_answered():
    """Guard against watches that keep one batch's limit on relays."""
    store = _Store()
    limits = []
    store.listen_regained(lambda: limits.append(store_paths._MAY_RELAY.get()))

    async def scenario():
        with store_paths.limited_relays(lambda vm_id: False):
            store.note_failure()
            store.note_success()
        await asyncio.sleep(0)

    asyncio.run(scenario())
    assert limits == [None]
