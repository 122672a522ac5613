"""A holder over fakes: steps, takeovers, scorers and outages."""

import asyncio
import collections

import pytest

from anvilwell_daemon.runs import bytes_store
from anvilwell_daemon.runs import copies
from anvilwell_daemon.runs import generator
from anvilwell_daemon.runs import holder as holders
from anvilwell_daemon.runs import keeper
from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import versions
from anvilwell_kernel import clock as clocks
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_outside.ports import keyvalue
from anvilwell_outside.ports import scorer as scorers

STEP = identity.Step("r", 1, "lm", (identity.Group("g", "p", 3, 8),))


class FakeKeyValue:
    def __init__(self):
        self.entries_by_key = {}
        self.lose_answers = 0
        self.down = False

    async def get(self, key, *, purpose):
        return self.entries_by_key.get(key)

    async def get_prefix(self, prefix, *, purpose):
        found = {
            key: entry
            for key, entry in self.entries_by_key.items()
            if key.startswith(prefix)
        }
        return keyvalue.Snapshot(found, 1)

    async def swap(self, swaps, *, purpose):
        if self.down:
            raise exceptions.KeyValueUnavailable("down")
        (swap,) = swaps
        there = self.entries_by_key.get(swap.key)
        if there:
            return keyvalue.SwapResult(False, 1, {swap.key: there})
        self.entries_by_key[swap.key] = keyvalue.Entry(swap.key, swap.value, 1)
        if self.lose_answers:
            self.lose_answers -= 1
            raise exceptions.KeyValueUnavailable("answer lost")
        return keyvalue.SwapResult(True, 1, {})


class FakeLease:
    def __init__(self, fencing):
        self.fencing = fencing
        self.lapsed = False

    def check(self, now):
        if self.lapsed:
            raise exceptions.Fenced("lapsed")


class FakePeers:
    """Daemons of one process that reach each other at once."""

    def __init__(self, daemons_by_id, vm_id):
        self._daemons_by_id = daemons_by_id
        self.handlers_by_kind = {}
        self.is_down = False
        daemons_by_id[vm_id] = self
        self._vm_id = vm_id

    def declare(self, kinds):
        pass

    def on(self, kind, handler):
        self.handlers_by_kind[kind] = handler

    async def request(self, vm_id, message, timeout_s=1.0):
        peer = self._daemons_by_id[vm_id]
        if peer.is_down:
            raise exceptions.LinkLost(f"{vm_id} is down")
        handler = peer.handlers_by_kind[type(message)]
        return await handler(self._vm_id, message)

    send = request


class FakeNeighbours(copies.Neighbours):
    def __init__(self, *vm_ids):
        self.vm_ids = vm_ids

    def others(self):
        return self.vm_ids


class FakeGenerator(generator.Generator):
    """Yields scripted streams, one token run by default."""

    def __init__(self):
        self.scripts = collections.deque()
        self.attempts = []
        self.gate = asyncio.Event()
        self.gate.set()

    async def stream(self, replica_id, attempt):
        self.attempts.append(attempt)
        script = self.scripts.popleft() if self.scripts else ["7"]
        for piece in script:
            await self.gate.wait()
            if piece is None:
                raise exceptions.BackendFailed("crashed")
            yield versions.TokenRun(piece, 2, f"{attempt.sample.index}")

    def desired_version(self, service):
        return "7"

    def replica_version(self, replica_id):
        return "7"


class FakeScorer(scorers.Scorer):
    def __init__(self, failures):
        self.failures = failures

    def score(self, samples, *, timeout_s):
        if self.failures:
            self.failures -= 1
            raise exceptions.BackendFailed("scorer is down")
        return {key: scorers.Score(key, 0.5) for key in samples}


class World:
    def __init__(self):
        self.keyvalue = FakeKeyValue()
        self.generator = FakeGenerator()
        self.peers_by_id = {}
        self.stores_by_id = {}
        for vm_id in ("a", "b", "c"):
            self._add(vm_id)
        self.open = []

    def _add(self, vm_id):
        kept = keeper.Keeper()
        self.stores_by_id[vm_id] = kept.store
        peers = FakePeers(self.peers_by_id, vm_id)
        others = sorted({"a", "b", "c"} - {vm_id})
        shared = copies.Copies(
            vm_id, kept.store, peers, FakeNeighbours(*others)
        )
        kept.serve(peers)
        peers.copies = shared

    async def holder(self, vm_id, fencing, scorer=None):
        parts = holders.Parts(
            clocks.SystemClock(),
            self.stores_by_id[vm_id],
            self.peers_by_id[vm_id].copies,
            self.keyvalue,
            self.generator,
            scorer,
        )
        lease = FakeLease(fencing)
        holder = holders.Holder("lm", vm_id, lease, parts, bound=1)
        holder.lease = lease
        holder.start()
        self.open.append(holder)
        holder.replica("e1", 4, 7)
        await holder.open_run("r", 1.0)
        return holder

    async def close(self):
        for holder in self.open:
            await holder.stop()


def run(scenario):
    async def body():
        world = World()
        try:
            async with asyncio.timeout(30):
                await scenario(world)
        finally:
            await world.close()

    asyncio.run(body())


async def collect_all(holder, cursor=0, want=3):
    rows = []
    while len(rows) < want:
        batch = await holder.collect("r", cursor, 10, 5.0)
        rows += batch["samples"]
        cursor = batch["next_cursor"]
    return rows, batch


def names(rows):
    return sorted(row["index"] for row in rows)


def test_a_step_comes_whole_and_a_repeat_gives_the_same():
    async def scenario(world):
        holder = await world.holder("a", 1)
        await holder.submit(STEP)
        rows, batch = await collect_all(holder)
        assert names(rows) == [0, 1, 2]
        assert batch["step_whole"] == [1]
        again, _ = await collect_all(holder)
        assert again == rows
        assert rows[0]["versions"] == ["7"]

    run(scenario)


@pytest.mark.parametrize("named", ["v7", "", "9" * 5000])
def test_a_stream_that_names_no_number_is_generated_again(named):
    async def scenario(world):
        world.generator.scripts.append([named])
        holder = await world.holder("a", 1)
        await holder.submit(STEP)
        rows, _ = await collect_all(holder)
        assert names(rows) == [0, 1, 2]
        assert all(row["versions"] == ["7"] for row in rows)
        assert not holder.lost.is_set()

    run(scenario)


def test_another_entry_takes_over_with_the_same_bytes():
    async def scenario(world):
        first = await world.holder("a", 1)
        await first.submit(STEP)
        rows, _ = await collect_all(first)
        await first.stop()
        world.peers_by_id["a"].is_down = True
        second = await world.holder("c", 2)
        again, _ = await collect_all(second)
        assert again == rows

    run(scenario)


def test_unfinished_samples_are_generated_after_a_takeover():
    async def scenario(world):
        world.generator.gate.clear()
        first = await world.holder("a", 1)
        await first.submit(STEP)
        await first.stop()
        world.generator.gate.set()
        second = await world.holder("b", 2)
        rows, _ = await collect_all(second)
        assert names(rows) == [0, 1, 2]

    run(scenario)


def test_a_paused_holder_steps_down_and_answers_nothing():
    async def scenario(world):
        old = await world.holder("a", 1)
        await old.submit(STEP)
        await world.holder("b", 2)
        with pytest.raises(exceptions.Refused):
            await old.submit(STEP._replace(step=2))
        assert old.lost.is_set()
        with pytest.raises(exceptions.Refused):
            await old.collect("r", 0, 10, 0)

    run(scenario)


def test_a_holder_whose_lease_lapsed_answers_nothing():
    async def scenario(world):
        holder = await world.holder("a", 1)
        await holder.submit(STEP)
        holder.lease.lapsed = True
        with pytest.raises(exceptions.Refused) as refusal:
            await holder.collect("r", 0, 10, 0)
        assert refusal.value.reason == reasons.Refusal.NOT_LEADER
        assert refusal.value.retry_after

    run(scenario)


def test_lost_answers_of_writes_record_each_sample_once():
    async def scenario(world):
        holder = await world.holder("a", 1)
        world.keyvalue.lose_answers = 2
        await holder.submit(STEP)
        rows, _ = await collect_all(holder)
        assert names(rows) == [0, 1, 2]

    run(scenario)


def test_crashed_attempt_and_failing_scorer_are_tried_again():
    async def scenario(world):
        world.generator.scripts.append(["7", None])
        holder = await world.holder("a", 1, FakeScorer(failures=1))
        await holder.submit(STEP)
        rows, _ = await collect_all(holder)
        assert names(rows) == [0, 1, 2]
        assert {row["score"] for row in rows} == {0.5}
        assert len(world.generator.attempts) == 4

    run(scenario)


def test_a_version_named_late_is_generated_again():
    async def scenario(world):
        world.generator.scripts.append(["6", "7"])
        world.generator.scripts.append(["6"])
        holder = await world.holder("a", 1)
        await holder.submit(STEP)
        rows, _ = await collect_all(holder)
        assert len(world.generator.attempts) == 5
        assert {tuple(row["versions"]) for row in rows} == {("7",)}

    run(scenario)


def test_a_copy_on_a_second_daemon_is_made_before_the_choice():
    async def scenario(world):
        world.peers_by_id["b"].is_down = True
        holder = await world.holder("a", 1)
        await holder.submit(STEP)
        rows, _ = await collect_all(holder)
        for row in rows:
            name = f"r/1/g/{row['index']}"
            assert world.stores_by_id["c"].find(name, row["digest"])

    run(scenario)


async def _fail(*args):
    raise ZeroDivisionError("a bug")


def _break_copies(world, holder):
    world.peers_by_id["a"].copies.spread = _fail


def _break_attempts(world, holder):
    world.generator.scripts.append(1 / 0 for _ in "x")


def _break_ticks(world, holder):
    def tick(now):
        raise ZeroDivisionError("a bug")

    holder._coordinator.tick = tick


@pytest.mark.parametrize(
    "damage", [_break_copies, _break_attempts, _break_ticks]
)
def test_a_holder_with_a_failed_task_steps_down(damage, monkeypatch):
    counted = []
    monkeypatch.setattr(
        counters, "count_refusal", lambda *args: counted.append(args)
    )

    async def scenario(world):
        holder = await world.holder("a", 1)
        damage(world, holder)
        await holder.submit(STEP)
        with pytest.raises(exceptions.Refused) as refusal:
            await collect_all(holder)
        assert refusal.value.reason == reasons.Refusal.NOT_LEADER
        assert holder.lost.is_set()
        assert holder.failed
        assert (reasons.Refusal.INTERNAL, "lm") in counted

    run(scenario)


def test_a_run_that_cannot_be_opened_for_a_bug_is_told_and_given_up():
    async def scenario(world):
        holder = await world.holder("a", 1)
        world.keyvalue.get_prefix = lambda prefix, *, purpose: _fail()
        with pytest.raises(ZeroDivisionError):
            await holder.open_run("other", 1.0)
        assert holder.lost.is_set()

    run(scenario)


def test_callers_of_a_holder_that_stops_are_sent_elsewhere_at_once():
    async def scenario(world):
        world.generator.gate.clear()
        holder = await world.holder("a", 1)
        await holder.submit(STEP)
        never = asyncio.Event()

        async def hang(prefix, *, purpose):
            await never.wait()

        world.keyvalue.get_prefix = hang
        calls = [
            asyncio.create_task(holder.collect("r", 0, 10, 25.0)),
            asyncio.create_task(holder.open_run("other", 1.0)),
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await holder.stop()
        for error in await asyncio.gather(*calls, return_exceptions=True):
            assert isinstance(error, exceptions.Refused)
            assert error.reason == reasons.Refusal.NOT_LEADER

    run(scenario)


def test_bytes_that_do_not_fit_their_digest_are_refused():
    store = bytes_store.BytesStore()
    with pytest.raises(exceptions.BadRequest):
        store.keep("s", "wrong", b"body")


def test_a_full_store_refuses_and_forgets_nothing():
    store = bytes_store.BytesStore(limit_bytes=5)
    store.keep("s", bytes_store.digest_of(b"abc"), b"abc")
    with pytest.raises(exceptions.Refused):
        store.keep("t", bytes_store.digest_of(b"def"), b"def")
    assert store.find("s", bytes_store.digest_of(b"abc")) == b"abc"
