"""Tests of the key-value adapter against the key-value stand-in."""

import threading

from anvilwell_kernel import clock
from anvilwell_kernel import exceptions
from anvilwell_kernel import verdict
from anvilwell_outside.adapters import etcd
from anvilwell_outside.adapters import etcd_watch
from anvilwell_outside.adapters import http_client
from anvilwell_outside.ports import keyvalue as ports
from anvilwell_standins.base import faults
from anvilwell_standins.keyvalue import server
import pytest

ARGS = {"purpose": ports.Purpose.LEDGER, "timeout_s": 20.0}


@pytest.fixture
def manual():
    return clock.ManualClock()


@pytest.fixture
def standin(manual):
    with server.KeyValue(clock=manual) as started:
        yield started


@pytest.fixture
def store(standin):
    adapter = etcd.Etcd(http_client.HttpClient(standin.address))
    yield adapter
    adapter.close()


def put(store, key, value, lease=0, expected=0):
    return store.swap([ports.Swap(key, expected, value, lease)], **ARGS)


def test_swap_applies_only_at_the_expected_revision(store):
    first = put(store, "a", b"1")
    assert first.landed
    second = put(store, "a", b"2")
    assert not second.landed
    assert second.entries_by_key["a"].value == b"1"
    third = put(store, "a", b"3", expected=first.revision)
    assert third.landed
    found = store.get("a", **ARGS)
    assert found == ports.Entry("a", b"3", third.revision)


def test_swaps_are_all_or_nothing(store):
    put(store, "a", b"1")
    swaps = [ports.Swap("b", 0, b"x"), ports.Swap("a", 0, b"x")]
    assert not store.swap(swaps, **ARGS).landed
    assert store.get("b", **ARGS) is None


def test_guard_checks_a_key_without_writing_it(standin, store):
    guarded = put(store, "list", b"members")
    lines = len(standin.record.lines("write"))
    swaps = [ports.Swap("doc", 0, b"1"), ports.Guard("list", guarded.revision)]
    assert store.swap(swaps, **ARGS).landed
    assert store.get("list", **ARGS).revision == guarded.revision
    assert len(standin.record.lines("write")) == lines + 1


def test_failed_guard_prevents_all_writes(store):
    guarded = put(store, "list", b"members")
    put(store, "list", b"more", expected=guarded.revision)
    for guard in (
        ports.Guard("list", guarded.revision),
        ports.Guard("list", 0),
    ):
        result = store.swap([ports.Swap("doc", 0, b"1"), guard], **ARGS)
        assert not result.landed
        assert result.entries_by_key == {}
    assert store.get("doc", **ARGS) is None


def test_guard_with_revision_0_requires_an_absent_key(store):
    swaps = [ports.Swap("doc", 0, b"1"), ports.Guard("list", 0)]
    assert store.swap(swaps, **ARGS).landed
    assert store.get("list", **ARGS) is None


def test_prefix_reads_one_snapshot(store):
    for key in ("p/1", "p/2", "q/1"):
        last = put(store, key, key.encode())
    snapshot = store.get_prefix("p/", **ARGS)
    assert sorted(snapshot.entries_by_key) == ["p/1", "p/2"]
    assert snapshot.revision == last.revision


def test_swap_to_none_deletes_the_key(store):
    landed = put(store, "a", b"1")
    put(store, "a", None, expected=landed.revision)
    assert store.get("a", **ARGS) is None


def test_expired_lease_deletes_its_keys(store, manual):
    lease = store.grant(10, **ARGS)
    put(store, "a", b"1", lease=lease)
    manual.advance(9)
    assert store.keep_alive(lease, **ARGS) == 10
    manual.advance(9)
    assert store.get("a", **ARGS).lease == lease
    manual.advance(2)
    assert store.get("a", **ARGS) is None
    assert store.keep_alive(lease, **ARGS) == 0
    store.revoke(lease, **ARGS)


def test_value_of_a_mebibyte_is_stored(store):
    value = bytes(1 << 20)
    assert put(store, "a", value).landed
    assert store.get("a", **ARGS).value == value


def test_call_with_refused_connection_has_not_run(standin, store):
    standin.close()
    with pytest.raises(exceptions.KeyValueUnavailable) as caught:
        put(store, "a", b"1")
    assert caught.value.verdict == verdict.Verdict.NOT_RUN


@pytest.mark.parametrize(
    ("kind", "landed"),
    [("lost-before-effect", False), ("lost-after-effect", True)],
)
def test_call_with_lost_response_may_have_run(standin, store, kind, landed):
    standin.faults.add(faults.Fault(kind, match="kv/txn"))
    with pytest.raises(exceptions.KeyValueUnavailable) as caught:
        put(store, "a", b"1")
    assert caught.value.verdict == verdict.Verdict.MAY_HAVE_RUN
    assert (store.get("a", **ARGS) is not None) == landed


def test_slow_store_times_out(standin, store):
    standin.faults.add(faults.Fault("slow", match="kv/range", seconds=30))
    with pytest.raises(exceptions.KeyValueUnavailable) as caught:
        store.get("a", purpose=ports.Purpose.LEDGER, timeout_s=0.1)
    assert caught.value.verdict == verdict.Verdict.MAY_HAVE_RUN


def test_rate_limited_call_has_not_run(standin, store, manual):
    standin.immediate_by_kind["rate-limit"](
        faults.Fault("rate-limit", amount=0.5)
    )
    store.get("a", **ARGS)
    with pytest.raises(exceptions.KeyValueUnavailable) as caught:
        store.get("a", **ARGS)
    assert caught.value.verdict == verdict.Verdict.NOT_RUN
    assert caught.value.retry_after > 0


def test_store_rolled_back_returns_older_data(standin, store):
    put(store, "a", b"1")
    put(store, "b", b"2")
    standin.immediate_by_kind["roll-back"](faults.Fault("", amount=1))
    snapshot = store.get_prefix("", **ARGS)
    assert list(snapshot.entries_by_key) == ["a"]
    assert put(store, "c", b"3").landed


def test_watch_reports_changes_from_a_revision_on(store):
    first = put(store, "p/1", b"1")
    put(store, "q/1", b"other")
    second = put(store, "p/1", None, expected=first.revision)
    watch = store.watch("p/", first.revision, **ARGS)
    assert next(watch) == ports.Change("p/1", b"1", first.revision)
    assert next(watch) == ports.Change("p/1", None, second.revision)
    third = put(store, "p/2", b"3")
    assert next(watch) == ports.Change("p/2", b"3", third.revision)
    watch.close()
    assert list(watch) == []


def test_watch_can_be_closed_from_another_thread(store):
    watch = store.watch("p/", 0, **ARGS)
    seen = []
    reader = threading.Thread(target=lambda: seen.extend(watch))
    reader.start()
    watch.close()
    reader.join(timeout=20)
    assert not reader.is_alive()
    assert seen == []


def test_idle_watch_ends(store):
    watch = store.watch("p/", 0, purpose=ports.Purpose.LEASE, timeout_s=0.1)
    assert list(watch) == []


def test_closing_an_unread_watch_ends_it_at_the_service(
    standin, store, monkeypatch
):
    """Closing a watch that was never read must close its connection.

    A daemon that stops just after its thread has opened a watch closes it
    unread. Once only a read closed the connection, so the service kept the
    watch for thirty seconds and more, until the object was garbage
    collected.
    """
    monkeypatch.setattr(server, "PROGRESS_S", 0.05)
    gone = threading.Event()
    add_waiting = standin._add_waiting

    def note(change):
        add_waiting(change)
        if change < 0:
            gone.set()

    monkeypatch.setattr(standin, "_add_waiting", note)
    watch = store.watch("p/", 0, **ARGS)
    watch.close()

    assert gone.wait(10.0)
    assert standin.counts_by_call()["watches waiting"] == 0
    assert list(watch) == []


def test_watch_of_compacted_changes_raises_compacted(standin, store):
    put(store, "a", b"1")
    standin.immediate_by_kind["compact"](faults.Fault("compact"))
    with pytest.raises(etcd_watch.Compacted):
        next(store.watch("a", 1, **ARGS))


def test_outage_of_the_store_fails_the_watch(standin, store):
    watch = store.watch("p/", 0, **ARGS)
    standin.go_down(30)
    with pytest.raises(exceptions.KeyValueUnavailable):
        next(watch)


def test_calls_are_counted_by_purpose_and_kind(standin, store):
    put(store, "a", b"1")
    store.get("a", **ARGS)
    watch = store.watch("a", 0, **ARGS)
    assert store.meter.counts() == {
        ("ledger", "write"): 1,
        ("ledger", "read"): 1,
        ("ledger", "watch"): 1,
        ("ledger", "waiting"): 1,
    }
    assert standin.counts_by_call() == {
        "kv/txn": 1,
        "kv/range": 1,
        "watch": 1,
        "watches waiting": 1,
    }
    watch.close()
    assert store.meter.counts()["ledger", "waiting"] == 0
