"""Tests how a starting entry fetches known crashes, in virtual time."""

import asyncio
import types

import cbor2

from anvilwell_decisions.requests import quarantine as quarantines
from anvilwell_gateway import crash_notifier
from anvilwell_gateway import crash_sync
from anvilwell_gateway.http import client
from anvilwell_gateway.http import messages

KNOWN = quarantines.KnownCrashes("f1", ("r1", "r2"), 3.0)


class _Pool:
    """Simulates the other entries; those in `silent` do not answer."""

    def __init__(self):
        self.silent = set()
        self.asked = []

    async def call(self, key, address, request, timeout_s, max_bytes):
        await asyncio.sleep(0.001)
        self.asked.append(key)
        if key in self.silent:
            raise client.call_error("no answer")
        return messages.Reply(200, ()), cbor2.dumps([KNOWN])

    def close(self):
        pass


def test_entries_are_asked_until_enough_have_answered(
    run_virtual, monkeypatch
):
    """Guards against an entry that starts without knowledge of crashes.

    Such an entry let a request crash replicas that the other entries had
    already quarantined.
    """
    pool = _Pool()
    monkeypatch.setattr(crash_sync.connection_pool, "Pool", lambda *_: pool)
    entries = {f"entry-{number}": f"a:{number}" for number in range(9)}
    cluster_state = types.SimpleNamespace(addresses_by_vm={"entry-0": "a:0"})
    applied = []

    async def scenario():
        sync = crash_sync.CrashSync("entry-0", cluster_state, applied.append)
        sync.entries_changed()
        await asyncio.sleep(60.0)
        assert not pool.asked
        cluster_state.addresses_by_vm = entries
        pool.silent = set(entries)
        sync.entries_changed()
        await asyncio.sleep(60.0)
        assert not applied
        pool.silent = set()
        await asyncio.sleep(crash_notifier.RETRY_DELAYS_S[-1] + 0.1)
        assert applied == [KNOWN] * crash_sync.ENTRIES_TO_ASK
        asked = len(pool.asked)
        rounds = (
            len(crash_notifier.RETRY_DELAYS_S)
            + 65.0 / crash_notifier.RETRY_DELAYS_S[-1]
        )
        assert asked <= crash_sync.ENTRIES_TO_ASK * rounds
        sync.entries_changed()
        await asyncio.sleep(60.0)
        assert len(pool.asked) == asked
        await sync.stop()

    run_virtual(scenario())
