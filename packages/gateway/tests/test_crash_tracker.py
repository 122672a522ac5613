"""Tests how entries share crashes of replicas, in virtual time."""

import asyncio
import types

import cbor2
import pytest

from anvilwell_decisions.requests import quarantine as quarantines
from anvilwell_gateway import crash_notifier
from anvilwell_gateway import crash_tracker
from anvilwell_gateway import crash_writer
from anvilwell_gateway import directory as directories
from anvilwell_gateway.http import client
from anvilwell_kernel import exceptions
from anvilwell_outside.ports import keyvalue

REPLICA = types.SimpleNamespace(replica_id="r1@5", address=None)
KEY = crash_writer.own_key("r1@5", "entry-1")


_ALONE = types.SimpleNamespace(addresses_by_vm={})


class _Directory:
    def __init__(self):
        self.ids = {"r1@5"}

    def listen(self, callback):
        self.changed = callback

    def is_present(self, replica_id):
        return replica_id in self.ids

    def remove(self):
        gone, self.ids = self.ids, set()
        self.changed(directories.DirectoryChange(frozenset(gone), True))


class _Responder:
    async def send(self, status):
        assert status == 200


class _Store:
    """An in-memory store; `faults` holds the faults of the next writes.

    A fault is "down" (refused), "lease" (the lease has ended), "lost"
    (applied without a response) or "" for none.
    """

    def __init__(self):
        self.entries_by_key = {}
        self.leases = []
        self.faults = []
        self.revision = 7

    async def grant(self, ttl_s):
        self.leases.append(ttl_s)
        return len(self.leases)

    async def swap(self, swaps):
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "down":
            raise exceptions.KeyValueUnavailable("down")
        if fault == "lease":
            raise exceptions.NotFound("the lease has ended")
        found = {
            swap.key: self.entries_by_key[swap.key]
            for swap in swaps
            if swap.key in self.entries_by_key
        }
        for swap in swaps:
            known = found.get(swap.key)
            if swap.expected != (known.revision if known else 0):
                return keyvalue.SwapResult(False, 0, found)
        self.revision += 1
        for swap in swaps:
            self.entries_by_key[swap.key] = keyvalue.Entry(
                swap.key, swap.value, self.revision, swap.lease
            )
        if fault == "lost":
            raise exceptions.KeyValueUnavailable("no answer")
        return keyvalue.SwapResult(True, self.revision, {})

    def written(self, key=KEY):
        return cbor2.loads(self.entries_by_key[key].value)[1]


@pytest.fixture
def run_scenario(run_virtual, monkeypatch):
    """Return a function that runs a scenario with a store and a directory.

    Its `refuses` says whether the address of a replica refuses connections.
    `refuses_after_s`, if given, is how long the real check takes to find it.
    """

    def run(scenario, refuses=True, refuses_after_s=None):
        async def refuses_connections(address):
            return refuses

        async def open_(address, timeout_s):
            left_s = timeout_s - refuses_after_s
            await asyncio.sleep(min(timeout_s, refuses_after_s))
            cause = ConnectionRefusedError() if left_s > 0 else TimeoutError()
            raise client.call_error("no connection") from cause

        if refuses_after_s is None:
            monkeypatch.setattr(
                crash_tracker, "_refuses_connections", refuses_connections
            )
        else:
            monkeypatch.setattr(client.Connection, "open", open_)

        async def body():
            store, directory = _Store(), _Directory()
            tracker = crash_tracker.CrashTracker(
                store, directory, "entry-1", _ALONE
            )
            try:
                await scenario(tracker, store, directory)
            finally:
                await tracker.stop()

        run_virtual(body())

    return run


def test_a_crash_is_written_under_a_lease_as_long_as_its_pause(run_scenario):
    async def scenario(tracker, store, directory):
        await tracker.note_cut("f1", REPLICA)
        await tracker.note_cut("f2", REPLICA)
        await asyncio.sleep(1.0)
        assert store.written() == ["f1", "f2"]
        assert store.leases == [quarantines.LONG_PAUSE_S]

    run_scenario(scenario)


def test_a_replica_that_still_listens_counts_as_crashed_once_it_is_gone(
    run_scenario,
):
    async def scenario(tracker, store, directory):
        await tracker.note_cut("f1", REPLICA)
        assert not tracker.is_suspect("f1")
        directory.remove()
        assert tracker.is_suspect("f1")

    run_scenario(scenario, refuses=False)


def test_a_replica_that_refuses_late_still_counts_as_crashed(run_scenario):
    """Guards against a missed crash on a busy VM.

    The check took longer than the wait for it, and the crash was taken for a
    broken connection.
    """

    async def scenario(tracker, store, directory):
        started_at = asyncio.get_running_loop().time()
        await tracker.note_cut("f1", REPLICA)
        took_s = asyncio.get_running_loop().time() - started_at
        assert took_s == pytest.approx(crash_tracker.CRASH_CHECK_WAIT_S)
        assert not tracker.is_suspect("f1")
        await asyncio.sleep(crash_tracker.CRASH_CHECK_WAIT_S)
        assert tracker.is_suspect("f1")
        await asyncio.sleep(1.0)
        assert store.written() == ["f1"]

    run_scenario(
        scenario, refuses_after_s=1.5 * crash_tracker.CRASH_CHECK_WAIT_S
    )


@pytest.mark.parametrize("fault", ["down", "lost", "lease"])
def test_a_crash_is_written_once_the_store_accepts_it(run_scenario, fault):
    async def scenario(tracker, store, directory):
        store.faults = [fault] * 30
        await tracker.note_cut("f1", REPLICA)
        await asyncio.sleep(60.0)
        assert store.written() == ["f1"]
        assert tracker._writer.is_done

    run_scenario(scenario)


def test_a_request_found_after_a_write_is_added_to_the_key(run_scenario):
    async def scenario(tracker, store, directory):
        await tracker.note_cut("f1", REPLICA)
        await asyncio.sleep(1.0)
        await tracker.note_cut("f2", REPLICA)
        await asyncio.sleep(1.0)
        assert store.written() == ["f1", "f2"]

    run_scenario(scenario)


def test_crashes_that_other_entries_wrote_hold_a_request_back(run_scenario):
    async def scenario(tracker, store, directory):
        for replica_id, vm_id in (("r0", "entry-2"), ("r1", "entry-3")):
            key = crash_writer.own_key(replica_id, vm_id)
            value = cbor2.dumps([replica_id, ["f1"]])
            tracker.change(keyvalue.Change(key, value, 9))
            tracker.change(keyvalue.Change(key, None, 10))
        assert tracker.wait_s("f1") == quarantines.SHORT_PAUSE_S
        value = cbor2.dumps(["r7", ["f1"]])
        entry = keyvalue.Entry(crash_writer.own_key("r7", "e"), value, 3)
        tracker.load({entry.key: entry})
        assert tracker.wait_s("f1") == quarantines.LONG_PAUSE_S

    run_scenario(scenario)


def test_a_crash_counts_once_if_notified_and_read_from_the_store(run_scenario):
    async def scenario(tracker, store, directory):
        crashes = [("r0", ("f1",)), ("r1", ("f1",))]
        request = types.SimpleNamespace(
            path=crash_notifier.TARGET, body=cbor2.dumps(crashes)
        )
        for _ in range(2):
            await tracker.answer(request, _Responder())
        value = cbor2.dumps(["r0", ["f1"]])
        tracker.change(keyvalue.Change(KEY, value, 9))
        assert tracker.wait_s("f1") == quarantines.SHORT_PAUSE_S
        await asyncio.sleep(1.0)
        assert not store.entries_by_key

    run_scenario(scenario)


def test_a_cleared_request_is_not_refused_by_an_entry_that_starts(
    run_scenario,
):
    """Guard against lookups that were refused for ten minutes at a restart.

    Three crashes, each with an answer after it, had been written.
    """

    async def scenario(tracker, store, directory):
        for number in range(quarantines.PROVEN_CRASHES):
            replica = types.SimpleNamespace(
                replica_id=f"r{number}", address=None
            )
            directory.ids.add(replica.replica_id)
            await tracker.note_cut("f1", replica)
            await tracker.note_cut("f2", replica)
            await asyncio.sleep(1.0)
            tracker.answered("f1")
            assert not tracker.is_suspect("f1")
        await asyncio.sleep(1.0)
        started = crash_tracker.CrashTracker(
            _Store(), _Directory(), "entry-2", _ALONE
        )
        # An older state of a key comes after the newest one.
        started.load(store.entries_by_key)
        value = cbor2.dumps(["r0", ["f1"]])
        started.change(keyvalue.Change(KEY, value, 9))
        assert not started.is_suspect("f1")
        assert started.wait_s("f2") == quarantines.LONG_PAUSE_S
        await started.stop()

    run_scenario(scenario)


def test_cleared_requests_outlive_crashes_that_other_entries_wrote(
    run_scenario,
):
    """Guard against a clearance whose lease ends before that of a crash."""

    async def scenario(tracker, store, directory):
        await tracker.note_cut("f1", REPLICA)
        await asyncio.sleep(quarantines.LONG_PAUSE_S / 3)
        value = cbor2.dumps(["r7", ["f2"]])
        tracker.change(keyvalue.Change("other", value, 9))
        tracker.answered("f2")
        await asyncio.sleep(1.0)
        own = store.entries_by_key[crash_writer.own_key("r7", "entry-1")]
        assert cbor2.loads(own.value) == ["r7", [], ["f2"]]
        assert own.lease == len(store.leases) == 2

    run_scenario(scenario)


def test_a_request_that_another_entry_cleared_is_served(run_scenario):
    """Guard against an entry that counts crashes which others cleared."""

    async def scenario(tracker, store, directory):
        for crash in [
            crash_notifier.Crash("r0", ("f1",)),
            crash_notifier.Crash("r1", (), ("f1",)),
            crash_notifier.Crash("r1", ("f1",)),
        ]:
            request = types.SimpleNamespace(
                path=crash_notifier.TARGET, body=cbor2.dumps([crash])
            )
            await tracker.answer(request, _Responder())
        assert tracker.wait_s("f1") == 0

    run_scenario(scenario)


def test_a_pause_does_not_restart_at_an_entry_that_starts(run_scenario):
    async def scenario(tracker, store, directory):
        tracker._learn_known(quarantines.KnownCrashes("f1", ("r1", "r2"), 3.0))
        assert tracker.wait_s("f1") == quarantines.SHORT_PAUSE_S - 3.0

    run_scenario(scenario)


@pytest.mark.parametrize(
    "value", [b"", b"\xff", cbor2.dumps({"a": 1}), cbor2.dumps(["r", [7]])]
)
def test_unreadable_values_are_ignored(run_scenario, value):
    async def scenario(tracker, store, directory):
        tracker.change(keyvalue.Change(KEY, value, 9))
        assert tracker.is_empty

    run_scenario(scenario)


def test_keys_are_short_for_ids_of_any_length():
    one = crash_writer.own_key("r" * 180, "vm" * 90)

    assert len(one) < 100
    assert one != crash_writer.own_key("r" * 180, "vm" * 91)
