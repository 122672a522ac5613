"""Tests a prefix follower on a store with scripted answers."""

import asyncio

from anvilwell_gateway import prefix_follower
from anvilwell_gateway import read_retries
from anvilwell_gateway import store as stores
from anvilwell_kernel import exceptions
from anvilwell_kernel import verdict as verdicts
from anvilwell_outside.ports import keyvalue
import pytest


class _ScriptedStore(stores.OutageTracker):
    """Returns scripted answers in turn, then never answers again."""

    def __init__(self, **answers):
        super().__init__()
        self.answers = answers
        self.calls = []

    async def _next(self, name, *args):
        self.calls.append((name, *args))
        answers = self.answers.get(name)
        if not answers:
            await asyncio.get_running_loop().create_future()
        answer = answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def listen_regained(self, callback):
        self.regained = callback

    async def get_prefix(self, prefix, after="", may_be_stale=False):
        return await self._next("get_prefix")

    async def watch(self, prefix, revision, wait_s):
        return await self._next("watch", revision)

    async def swap(self, swaps):
        return await self._next("swap")


class _Follower(prefix_follower.PrefixFollower):
    def __init__(self, store):
        super().__init__(store, "p/")
        self.seen = []

    def load(self, entries_by_key):
        self.seen.append(sorted(entries_by_key))

    def change(self, change):
        self.seen.append(change.key)


def _snapshot(revision, *keys):
    entries = {key: keyvalue.Entry(key, b"", revision) for key in keys}
    return keyvalue.Snapshot(entries, revision)


def _changes(revision, *changes):
    return stores.Changes(
        tuple(keyvalue.Change(key, b"", rev) for key, rev in changes),
        revision,
    )


def _lost(verdict=verdicts.Verdict.MAY_HAVE_RUN):
    return exceptions.KeyValueUnavailable("lost", verdict=verdict)


def _follow(monkeypatch, count, **answers):
    monkeypatch.setattr(prefix_follower, "COALESCE_S", 0.0)
    monkeypatch.setattr(read_retries, "FIRST_WAIT_S", 0.0)

    async def run():
        store = _ScriptedStore(**answers)
        follower = _Follower(store)
        follower.start()
        while len(store.calls) < count:
            await asyncio.sleep(0)
        await follower.stop()
        return follower.seen, store.calls

    return asyncio.run(run())


def test_changes_follow_the_first_read(monkeypatch):
    seen, calls = _follow(
        monkeypatch,
        3,
        get_prefix=[_snapshot(5, "a")],
        watch=[_changes(7, ("a", 6), ("b", 7))],
    )

    assert seen == [["a"], "a", "b"]
    assert calls[1:] == [("watch", 5), ("watch", 7)]


def test_all_entries_are_read_again_if_the_history_is_gone(monkeypatch):
    seen, _ = _follow(
        monkeypatch,
        4,
        get_prefix=[_snapshot(5, "a"), _snapshot(9, "b")],
        watch=[stores.HistoryGone("gone")],
    )

    assert seen == [["a"], ["b"]]


def test_a_read_older_than_the_local_copy_is_ignored(monkeypatch):
    seen, _ = _follow(
        monkeypatch,
        5,
        get_prefix=[_snapshot(5, "a"), _snapshot(4), _snapshot(6, "c")],
        watch=[stores.HistoryGone("gone")],
    )

    assert seen == [["a"], ["c"]]


def test_all_entries_are_read_again_after_a_lost_watch(monkeypatch):
    seen, calls = _follow(
        monkeypatch,
        5,
        get_prefix=[_snapshot(5, "a"), _snapshot(7, "a", "c")],
        watch=[_lost(), _changes(8, ("a", 7), ("b", 8))],
    )

    assert seen == [["a"], ["a", "c"], "b"]
    assert calls[3] == ("watch", 7)


def test_a_change_that_can_not_be_applied_does_not_end_the_follower(
    monkeypatch,
):
    """Guards against a process that watches no more and says nothing."""

    def change(follower, change):
        raise ValueError("unexpected")

    monkeypatch.setattr(_Follower, "change", change)
    seen, calls = _follow(
        monkeypatch,
        4,
        get_prefix=[_snapshot(5, "a"), _snapshot(6, "b")],
        watch=[_changes(6, ("b", 6))],
    )

    assert seen == [["a"], ["b"]]
    assert calls[3] == ("watch", 6)


def test_a_watch_that_may_hang_is_restarted(monkeypatch):
    async def run():
        reads = [_snapshot(5, "a"), _snapshot(6, "a", "b")]
        store = _ScriptedStore(get_prefix=reads)
        follower = _Follower(store)
        follower.start()
        while len(store.calls) < 2:
            await asyncio.sleep(0)
        store.regained()
        while len(store.calls) < 4:
            await asyncio.sleep(0)
        await follower.stop()
        return store.calls, follower.seen

    calls, seen = asyncio.run(run())

    assert seen == [["a"], ["a", "b"]]
    assert calls[1::2] == [("watch", 5), ("watch", 6)]


LANDED = keyvalue.SwapResult(True, 3, {})
SWAPS = [keyvalue.Swap("k", 0, b"v")]


def _swap(monkeypatch, answers, **kwargs):
    monkeypatch.setattr(stores, "WRITE_RETRY_S", 0.01)
    store = _ScriptedStore(swap=answers)
    return asyncio.run(stores.swap_until_known(store, SWAPS, **kwargs))


def test_a_lost_write_is_repeated_until_its_outcome_is_known(monkeypatch):
    answers = [_lost(), _lost(verdicts.Verdict.NOT_RUN), LANDED]

    assert (
        _swap(monkeypatch, answers, timeout_s=9.0, refusal_timeout_s=0.0)
        == LANDED
    )


def test_a_follower_keeps_trying_during_an_outage_of_hours(run_virtual):
    async def scenario():
        away = [exceptions.KeyValueUnavailable("away") for _ in range(1100)]
        store = _ScriptedStore(get_prefix=[*away, _snapshot(1, "p/a")])
        follower = _Follower(store)
        follower.start()
        while not follower.seen:
            await asyncio.sleep(60.0)
        await follower.stop()
        return follower.seen

    async def bounded():
        async with asyncio.timeout(1200 * read_retries.MAX_WAIT_S):
            return await scenario()

    assert run_virtual(bounded()) == [["p/a"]]


def test_an_outage_slows_retries_until_the_store_answers(run_virtual):
    async def run():
        store = _ScriptedStore(get_prefix=[_lost()] * 100)
        follower = _Follower(store)
        follower.start()
        await asyncio.sleep(60.0)
        calls = len(store.calls)
        store.answers["get_prefix"] = [_snapshot(5, "p/a")]
        store.regained()
        await asyncio.sleep(0.1)
        seen = follower.seen
        await follower.stop()
        return calls, seen

    calls, seen = run_virtual(run())
    least = 60.0 / read_retries.MAX_WAIT_S
    assert least < calls < 2 * least
    assert seen == [["p/a"]]


@pytest.mark.parametrize("verdict", list(verdicts.Verdict)[:2])
def test_a_write_is_not_run_only_if_no_attempt_may_be_applied(
    monkeypatch, verdict
):
    answers = [_lost(verdict)] + [_lost(verdicts.Verdict.NOT_RUN)] * 50

    with pytest.raises(exceptions.KeyValueUnavailable) as caught:
        _swap(monkeypatch, answers, timeout_s=0.05, refusal_timeout_s=0.02)

    assert caught.value.verdict is verdict
