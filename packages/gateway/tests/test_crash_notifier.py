"""Tests the direct notifications between entries, in virtual time."""

import asyncio
import types

import pytest

from anvilwell_gateway import crash_notifier
from anvilwell_gateway.http import client
from anvilwell_gateway.http import messages

CRASH = crash_notifier.Crash("r1@5", ("f1",))
LATER_CRASH = crash_notifier.Crash("r2@5", ("f1", "f2"))


class _Pool:
    """Records calls to other entries; the next `failures` calls fail."""

    def __init__(self):
        self.failures = 0
        self.sent = []

    async def call(self, key, address, request, timeout_s, max_bytes):
        await asyncio.sleep(0.001)
        if self.failures:
            self.failures -= 1
            raise client.call_error("no response")
        self.sent.append((key, crash_notifier.read(request.body)))
        return messages.Reply(200, ()), b""

    def close(self):
        pass


@pytest.fixture
def run_scenario(run_virtual, monkeypatch):
    """Return a function that runs a scenario with a notifier and entries."""

    def run(scenario):
        async def body():
            pool = _Pool()
            monkeypatch.setattr(
                crash_notifier.connection_pool, "Pool", lambda *_: pool
            )
            cluster_state = types.SimpleNamespace(
                addresses_by_vm={"entry-1": "a:1", "entry-2": "a:2"},
                incarnations_by_vm={"entry-1": "one", "entry-2": "two"},
            )
            notifier = crash_notifier.CrashNotifier("entry-1", cluster_state)
            try:
                await scenario(notifier, pool, cluster_state)
            finally:
                await notifier.stop()

        run_virtual(body())

    return run


def test_other_entries_are_notified_at_once_and_of_later_crashes_next(
    run_scenario,
):
    async def scenario(notifier, pool, cluster_state):
        cluster_state.addresses_by_vm["entry-3"] = "a:3"
        notifier.notify(CRASH)
        await asyncio.sleep(0)
        notifier.notify(LATER_CRASH)
        await asyncio.sleep(0.01)
        for vm_id in ("entry-2", "entry-3"):
            sent = [one for key, one in pool.sent if key == vm_id]
            assert sent == [(CRASH,), (LATER_CRASH,)]
        assert "entry-1" not in dict(pool.sent)

    run_scenario(scenario)


def test_an_entry_that_registers_after_a_crash_is_notified(run_scenario):
    """Guards against an entry that lets the request crash two more replicas.

    It does so if it is not notified of crashes before its registration. Old
    crashes, and those that it acknowledged, are not sent again.
    """

    async def scenario(notifier, pool, cluster_state):
        notifier.notify(CRASH)
        await asyncio.sleep(60.0)
        cluster_state.addresses_by_vm["entry-3"] = "a:3"
        cluster_state.incarnations_by_vm["entry-2"] = "another"
        notifier.entries_changed()
        await asyncio.sleep(0.01)
        assert pool.sent == [
            ("entry-2", (CRASH,)),
            ("entry-2", (CRASH,)),
            ("entry-3", (CRASH,)),
        ]
        notifier.entries_changed()
        await asyncio.sleep(3600.0)
        cluster_state.addresses_by_vm["entry-4"] = "a:4"
        notifier.entries_changed()
        await asyncio.sleep(0.01)
        assert len(pool.sent) == 3

    run_scenario(scenario)


def test_a_notification_without_a_response_is_repeated(run_scenario):
    async def scenario(notifier, pool, cluster_state):
        pool.failures = len(crash_notifier.RETRY_DELAYS_S)
        notifier.notify(CRASH)
        await asyncio.sleep(sum(crash_notifier.RETRY_DELAYS_S) + 0.1)
        assert pool.sent == [("entry-2", (CRASH,))]

    run_scenario(scenario)


def test_an_unreachable_entry_is_notified_once_it_responds(run_scenario):
    """Guards against retries that end while the entry is unreachable.

    An entry whose path from here is broken for minutes still serves callers.
    """

    async def scenario(notifier, pool, cluster_state):
        pool.failures = 100
        notifier.notify(CRASH)
        await asyncio.sleep(300.0)
        failures = 100 - pool.failures
        assert (
            failures
            <= len(crash_notifier.RETRY_DELAYS_S)
            + 300.0 / crash_notifier.RETRY_DELAYS_S[-1]
        )
        assert pool.sent == []
        pool.failures = 0
        await asyncio.sleep(crash_notifier.RETRY_DELAYS_S[-1] + 0.01)
        assert pool.sent == [("entry-2", (CRASH,))]

    run_scenario(scenario)


def test_old_crashes_are_no_longer_sent_to_a_silent_entry(run_scenario):
    async def scenario(notifier, pool, cluster_state):
        pool.failures = 1 << 20
        notifier.notify(CRASH)
        await asyncio.sleep(3600.0)
        pool.failures = 0
        notifier.notify(LATER_CRASH)
        await asyncio.sleep(0.01)
        assert pool.sent == [("entry-2", (LATER_CRASH,))]

    run_scenario(scenario)


def test_an_entry_that_has_left_is_not_notified(run_scenario):
    async def scenario(notifier, pool, cluster_state):
        notifier.notify(CRASH)
        del cluster_state.addresses_by_vm["entry-2"]
        await asyncio.sleep(3600.0)
        assert pool.sent == []

    run_scenario(scenario)


def test_the_crashes_pending_for_an_entry_are_limited(run_scenario):
    async def scenario(notifier, pool, cluster_state):
        pool.failures = 1
        for number in range(2 * crash_notifier.MAX_PENDING_CRASHES):
            notifier.notify(crash_notifier.Crash(f"r{number}", ("f1",)))
        await asyncio.sleep(1.0)
        (sent,) = [sent for _, sent in pool.sent]
        assert len(sent) == crash_notifier.MAX_PENDING_CRASHES
        assert (
            sent[-1].replica_id
            == f"r{2 * crash_notifier.MAX_PENDING_CRASHES - 1}"
        )

    run_scenario(scenario)
