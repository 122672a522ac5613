"""Tests of what a process that drains still asks of the store."""

import asyncio

from anvilwell_gateway import presence as presences
from anvilwell_gateway import store as stores
from anvilwell_kernel import exceptions
from anvilwell_outside.ports import keyvalue
import pytest


class _Store(stores.OutageTracker):
    """A store that records its calls and refuses them while it is silent."""

    def __init__(self):
        super().__init__()
        self.is_silent = False
        self.calls = []

    def _call(self, name, answer=None):
        self.calls.append(name)
        if self.is_silent:
            raise exceptions.KeyValueUnavailable("silent")
        self.note_success()
        return answer

    async def grant(self, ttl_s):
        return self._call("grant", 7)

    async def get(self, key):
        return self._call("get")

    async def swap(self, swaps):
        return self._call("swap", keyvalue.SwapResult(True, 1, {}))

    async def keep_alive(self, lease):
        return self._call("renew", True)

    async def revoke(self, lease):
        self._call("revoke")

    async def ping(self):
        self._call("ping")


async def _drained(store):
    """Return a `Presence` that has registered and begun to drain."""
    presence = presences.Presence(store, "vm")
    presence.start("a:1")
    await asyncio.sleep(presences.RENEW_S / 2)
    await presence.drain()
    store.calls.clear()
    return presence


def test_a_draining_process_only_asks_whether_the_store_answers(run_virtual):
    """Guard against a renewal of the ended lease, and calls of others."""
    store = _Store()

    async def scenario():
        presence = await _drained(store)
        await asyncio.sleep(5 * presences.RENEW_S)
        silence_s = presence.silence_s()
        await presence.stop()
        asked = list(store.calls)
        await asyncio.sleep(5 * presences.RENEW_S)
        return asked, silence_s, presence.session.lease

    asked, silence_s, lease = run_virtual(scenario())
    assert set(asked) == {"ping"}
    assert len(asked) <= 5
    assert silence_s <= presences.RENEW_S
    assert lease == 0
    # Nothing is asked once the process has stopped.
    assert store.calls == asked


def test_a_silent_store_is_noticed_during_the_drain(run_virtual):
    """Guard against keys that are confirmed though the store is silent."""
    store = _Store()

    async def scenario():
        presence = await _drained(store)
        store.is_silent = True
        await asyncio.sleep(3.0)
        silence_s = presence.silence_s()
        await presence.stop()
        return silence_s

    assert run_virtual(scenario()) == 3.0


@pytest.mark.parametrize("is_silent", [True, False])
def test_renewals_on_request_are_as_rare_as_after_a_failure(
    is_silent, run_virtual
):
    """Guards against a call to the store for each neighbour that asks."""
    store = _Store()

    async def scenario():
        presence = presences.Presence(store, "vm")
        presence.start("a:1")
        await asyncio.sleep(presences.RENEW_S / 2)
        store.is_silent = is_silent
        store.calls.clear()
        for _ in range(1000):
            presence.renew_now()
            await asyncio.sleep(0.001)
        calls = len(store.calls)
        await presence.stop()
        return calls

    # A second has passed; one call more for each end of it.
    assert run_virtual(scenario()) <= 1.0 / presences.RETRY_S + 2


def test_a_draining_process_can_still_see_whether_the_store_answers(
    run_virtual,
):
    """Guards against a draining entry that keeps an old configuration.

    Its neighbour had lost the store. It could not tell which of both was cut
    off, as it renewed no lease any more, and asked the neighbour on and on.
    """
    store = _Store()

    async def scenario():
        presence = await _drained(store)
        # The last answer is too old by now.
        await asyncio.sleep(1.8 * presences.RENEW_S)
        presence.renew_now()
        await asyncio.sleep(0.01)
        has_answered = presence.has_answered_recently()
        await presence.stop()
        return has_answered

    assert run_virtual(scenario())
