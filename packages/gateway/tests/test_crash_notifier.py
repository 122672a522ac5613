"""What entries tell each other directly, in virtual time."""

import asyncio
import types

import pytest

from anvilwell_gateway import crash_notifier
from anvilwell_gateway.http import client
from anvilwell_gateway.http import messages

CRASH = crash_notifier.Crash("r1@5", ("f1",))
LATER_CRASH = crash_notifier.Crash("r2@5", ("f1", "f2"))


class _Pool:
    """Stands for the entries; `failures` of the next calls are lost."""

    def __init__(self):
        self.failures = 0
        self.told = []

    async def call(self, key, address, request, timeout_s, max_bytes):
        await asyncio.sleep(0.001)
        if self.failures:
            self.failures -= 1
            raise client.call_error("no answer")
        self.told.append((key, crash_notifier.read(request.body)))
        return messages.Reply(200, ()), b""

    def close(self):
        pass


@pytest.fixture
def play(run_virtual, monkeypatch):
    """Return what runs a scenario with a notifier and its peers."""

    def run(scenario):
        async def body():
            pool = _Pool()
            monkeypatch.setattr(crash_notifier.client, "Pool", lambda *_: pool)
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


def test_the_others_are_told_at_once_and_what_comes_meanwhile_after(play):
    async def scenario(notifier, pool, cluster_state):
        cluster_state.addresses_by_vm["entry-3"] = "a:3"
        notifier.notify(CRASH)
        await asyncio.sleep(0)
        notifier.notify(LATER_CRASH)
        await asyncio.sleep(0.01)
        for vm_id in ("entry-2", "entry-3"):
            told = [one for key, one in pool.told if key == vm_id]
            assert told == [(CRASH,), (LATER_CRASH,)]
        assert "entry-1" not in dict(pool.told)

    play(scenario)


def test_an_entry_that_is_heard_of_after_an_end_is_told_of_it(play):
    """Else it lets the same request end two replicas of its own."""

    async def scenario(notifier, pool, cluster_state):
        notifier.notify(CRASH)
        await asyncio.sleep(60.0)
        cluster_state.addresses_by_vm["entry-3"] = "a:3"
        cluster_state.incarnations_by_vm["entry-2"] = "another"
        notifier.entries_changed()
        await asyncio.sleep(0.01)
        assert pool.told == [
            ("entry-2", (CRASH,)),
            ("entry-2", (CRASH,)),
            ("entry-3", (CRASH,)),
        ]
        notifier.entries_changed()
        await asyncio.sleep(3600.0)
        cluster_state.addresses_by_vm["entry-4"] = "a:4"
        notifier.entries_changed()
        await asyncio.sleep(0.01)
        assert len(pool.told) == 3

    play(scenario)


def test_an_entry_is_told_again_that_did_not_answer(play):
    async def scenario(notifier, pool, cluster_state):
        pool.failures = len(crash_notifier.RETRY_DELAYS_S)
        notifier.notify(CRASH)
        await asyncio.sleep(sum(crash_notifier.RETRY_DELAYS_S) + 0.1)
        assert pool.told == [("entry-2", (CRASH,))]

    play(scenario)


def test_an_entry_that_stays_silent_is_told_once_it_answers(play):
    """Cut off from one witness for minutes, it took callers all the same."""

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
        assert pool.told == []
        pool.failures = 0
        await asyncio.sleep(crash_notifier.RETRY_DELAYS_S[-1] + 0.01)
        assert pool.told == [("entry-2", (CRASH,))]

    play(scenario)


def test_an_entry_that_stays_silent_is_given_up_once_an_end_is_old(play):
    async def scenario(notifier, pool, cluster_state):
        pool.failures = 1 << 20
        notifier.notify(CRASH)
        await asyncio.sleep(3600.0)
        pool.failures = 0
        notifier.notify(LATER_CRASH)
        await asyncio.sleep(0.01)
        assert pool.told == [("entry-2", (LATER_CRASH,))]

    play(scenario)


def test_an_entry_that_has_gone_is_not_asked(play):
    async def scenario(notifier, pool, cluster_state):
        notifier.notify(CRASH)
        del cluster_state.addresses_by_vm["entry-2"]
        await asyncio.sleep(3600.0)
        assert pool.told == []

    play(scenario)


def test_what_waits_for_one_entry_is_bounded(play):
    async def scenario(notifier, pool, cluster_state):
        pool.failures = 1
        for number in range(2 * crash_notifier.MAX_PENDING_CRASHES):
            notifier.notify(crash_notifier.Crash(f"r{number}", ("f1",)))
        await asyncio.sleep(1.0)
        (told,) = [told for _, told in pool.told]
        assert len(told) == crash_notifier.MAX_PENDING_CRASHES
        assert (
            told[-1].replica_id
            == f"r{2 * crash_notifier.MAX_PENDING_CRASHES - 1}"
        )

    play(scenario)
