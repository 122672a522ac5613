"""The service ``claims`` with store outages and lost responses."""

import asyncio
import contextlib
import json

import pytest
import werkzeug
from werkzeug import test

from anvilwell_daemon.claims import service as claims
from anvilwell_daemon.entry import calls
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import services
from anvilwell_kernel import verdict as verdicts
from anvilwell_outside.ports import keyvalue as port

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY = verdicts.Verdict.MAY_HAVE_RUN
RAN = verdicts.Verdict.RAN


class FakeStore(services.Service):
    """Key-value facade on a dict; each write consumes one of ``faults``."""

    name = "keyvalue"

    def __init__(self):
        self.entries_by_key = {}
        self.revision = 0
        self.faults = []
        self.leases = []
        self.writes = 0

    async def grant(self, ttl_s, *, purpose):
        self.leases.append(ttl_s)
        return len(self.leases)

    async def get(self, key, *, purpose):
        return self.entries_by_key.get(key)

    async def swap(self, swaps, *, purpose):
        assert purpose is port.Purpose.CLAIM
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "down":
            raise exceptions.KeyValueUnavailable("down")
        result = self._apply(swaps)
        if fault == "answer lost":
            raise exceptions.KeyValueUnavailable("answer lost")
        return result

    def _apply(self, swaps):
        self.writes += 1
        found = {
            s.key: self.entries_by_key[s.key]
            for s in swaps
            if s.key in self.entries_by_key
        }
        for swap in swaps:
            entry = found.get(swap.key)
            if (entry.revision if entry else 0) != swap.expected:
                return port.SwapResult(False, self.revision, found)
        self.revision += 1
        for swap in swaps:
            self.entries_by_key.pop(swap.key, None)
            if swap.value is not None:
                self.entries_by_key[swap.key] = port.Entry(
                    swap.key, swap.value, self.revision, swap.lease
                )
        return port.SwapResult(True, self.revision, {})


class FakeAnswer:
    """A backend server's response; ``error`` is raised after the body."""

    finish = None
    replica_id = "r1"

    def __init__(self, body=b"sent", status=201, error=None):
        self.status = status
        self.headers = [("Content-Type", "text/plain")]
        self._body = body
        self._error = error

    def __iter__(self):
        yield calls.Piece(self._body)
        if self._error:
            raise self._error

    def close(self):
        pass


class FakeDispatcher(services.Service):
    """Records executed requests; ``script`` holds responses and errors."""

    name = "dispatcher"

    def __init__(self):
        self.ran = []
        self.script = []

    def open(self, call):
        step = self.script.pop(0) if self.script else FakeAnswer()
        if isinstance(step, Exception):
            if step.verdict is not NOT_RUN:
                self.ran.append(call.request_id)
            raise step
        self.ran.append(call.request_id)
        return step


class FakeWeb(services.Service):
    name = "web"

    def route(self, rule, handler, methods=("GET",)):
        self.handler = handler


class World:
    """Entries that share one store and one backend server."""

    def __init__(self):
        self.store = FakeStore()
        self.dispatcher = FakeDispatcher()
        self.web = FakeWeb()
        self.entries = []
        self._numbers = iter(range(1000))

    async def entry(self):
        service = claims.Claims(f"entry-{len(self.entries)}")
        kernel = services.Kernel([self.store, self.dispatcher, self.web])
        await service.start(kernel)
        self.entries.append(service)
        return service

    async def call(self, entry, key="k", body=b"notice", **fields):
        request_id = f"q{next(self._numbers)}"
        call = calls.Call(
            request_id, "stops", body, 5.0, path="/notices", key=key
        )._replace(idempotent=False, **fields)
        answer = await asyncio.to_thread(entry.open, call)
        pieces = await asyncio.to_thread(list, answer)
        return answer, b"".join(piece.data for piece in pieces)


def run(work):
    async def main():
        world = World()
        try:
            async with asyncio.timeout(30):
                await work(world)
        finally:
            for entry in world.entries:
                await entry.stop()

    asyncio.run(main())


@contextlib.contextmanager
def refused(reason, verdict):
    with pytest.raises(exceptions.AnvilwellError) as caught:
        yield
    assert (caught.value.reason, caught.value.verdict) == (reason, verdict)


def test_a_repeat_at_another_entry_gets_the_same_answer():
    async def work(world):
        first, second = await world.entry(), await world.entry()
        answer, body = await world.call(first)
        assert (answer.status, body) == (201, b"sent")
        await first.drain()
        answer, body = await world.call(second)
        assert (answer.status, body) == (201, b"sent")
        assert ("Anvilwell-Replayed", "true") in answer.headers
        assert world.dispatcher.ran == ["q0"]

    run(work)


def test_without_a_key_every_request_is_a_new_one():
    async def work(world):
        entry = await world.entry()
        await world.call(entry, key="")
        await world.call(entry, key="")
        assert len(world.dispatcher.ran) == 2
        assert world.store.writes == 0

    run(work)


def test_a_lost_response_of_the_store_runs_once():
    async def work(world):
        entry = await world.entry()
        world.store.faults = ["answer lost"]
        await world.call(entry)
        assert world.dispatcher.ran == ["q0"]

    run(work)


def test_an_outage_runs_nothing_and_the_key_is_free_afterwards():
    async def work(world):
        entry = await world.entry()
        world.store.faults = ["answer lost"] + ["down"] * 1000
        with refused(reasons.Refusal.KEY_VALUE_UNAVAILABLE, NOT_RUN):
            await world.call(entry, deadline_s=0.5)
        assert world.dispatcher.ran == []
        world.store.faults = []
        await entry.drain()
        other = await world.entry()
        while world.store.entries_by_key:
            await asyncio.sleep(0.01)
        await world.call(other)
        assert len(world.dispatcher.ran) == 1

    run(work)


def test_not_run_frees_the_key():
    async def work(world):
        entry = await world.entry()
        world.dispatcher.script = [exceptions.Refused("full")]
        with refused(reasons.Refusal.OVERLOADED, NOT_RUN):
            await world.call(entry)
        await entry.drain()
        assert world.store.entries_by_key == {}
        await world.call(entry)
        assert world.dispatcher.ran == ["q1"]

    run(work)


@pytest.mark.parametrize(
    "step",
    [
        exceptions.LinkLost("lost"),
        FakeAnswer(error=exceptions.BackendFailed("cut")),
    ],
)
def test_what_may_have_run_is_never_run_again(step):
    async def work(world):
        entry = await world.entry()
        world.dispatcher.script = [step]
        with pytest.raises(exceptions.AnvilwellError) as caught:
            await world.call(entry)
        assert caught.value.verdict is MAY
        await entry.drain()
        other = await world.entry()
        with refused(reasons.Refusal.OUTCOME_UNKNOWN, MAY):
            await world.call(other)
        assert world.dispatcher.ran == ["q0"]

    run(work)


def test_a_repeat_after_a_crash_is_never_run_again():
    async def work(world):
        entry = await world.entry()
        entry._settle_soon = lambda *_: None
        await world.call(entry)
        other = await world.entry()
        with refused(reasons.Refusal.OUTCOME_UNKNOWN, MAY):
            await world.call(other)
        assert world.dispatcher.ran == ["q0"]

    run(work)


def test_one_key_for_another_request_is_a_conflict():
    async def work(world):
        entry = await world.entry()
        await world.call(entry)
        with refused(reasons.Refusal.CONFLICT, NOT_RUN):
            await world.call(entry, body=b"another notice")

    run(work)


def test_teams_do_not_see_each_others_keys():
    async def work(world):
        entry = await world.entry()
        await world.call(entry, team="a")
        answer, _ = await world.call(entry, team="b")
        assert len(world.dispatcher.ran) == 2
        assert answer.headers == [("Content-Type", "text/plain")]

    run(work)


def test_a_long_response_is_complete_but_not_recorded():
    async def work(world):
        entry = await world.entry()
        world.dispatcher.script = [FakeAnswer(body=b"x" * 10000)]
        _, body = await world.call(entry)
        assert len(body) == 10000
        await entry.drain()
        with refused(reasons.Refusal.ALREADY_RAN, RAN):
            await world.call(entry)

    run(work)


def test_many_requests_at_once_with_one_key_run_once():
    async def work(world):
        entries = [await world.entry() for _ in range(3)]
        calls_made = [world.call(entries[n % 3]) for n in range(12)]
        results = await asyncio.gather(*calls_made, return_exceptions=True)
        assert len(world.dispatcher.ran) == 1
        failed = [r for r in results if isinstance(r, Exception)]
        assert {e.verdict for e in failed} <= {MAY}

    run(work)


def test_records_expire_with_a_lease_of_the_retention():
    async def work(world):
        entry = await world.entry()
        await world.call(entry)
        await world.call(entry, key="k2")
        assert world.store.leases == [25 * 3600.0]
        leases = {e.lease for e in world.store.entries_by_key.values()}
        assert leases == {1}

    run(work)


def test_the_caller_can_ask_for_the_outcome():
    async def work(world):
        entry = await world.entry()
        await world.call(entry)
        await entry.drain()
        seen = [await _outcome(world, key) for key in ("k", "other")]
        assert [(s["state"], s["status"]) for s in seen] == [
            ("ran", 201),
            ("none", None),
        ]

    run(work)


async def _outcome(world, key):
    builder = test.EnvironBuilder(query_string={"service": "stops"})
    request = werkzeug.Request(builder.get_environ())
    handler = world.web.handler
    response = await asyncio.to_thread(handler, request, key)
    return json.loads(response.get_data())
