"""Tests when an evacuation is in force, and that nothing is sent after it."""

import asyncio
import types

from anvilwell_decisions.traffic import facts
from anvilwell_gateway.batches import runner as runners
from anvilwell_gateway import directory as directories
from anvilwell_gateway import evacuations
from anvilwell_gateway import forwarding
from anvilwell_gateway_standins import follower_world as worlds
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts
from anvilwell_outside.ports import keyvalue
import pytest

LIMIT_S = 5.0
KEY = "e/b"


class _Codec:
    """Reads registrations whose value is the replica's failure domain."""

    evacuations_prefix = "e/"
    replicas_prefix = "r/"

    def read_replica(self, key, value):
        return facts.Replica(key, "lm", None, value.decode(), 4)


class _Store:
    answered_at = float("-inf")

    def listen_regained(self, callback):
        pass


def _load(follower, **values):
    entries = [
        keyvalue.Entry(follower._prefix + name, value, 1)
        for name, value in values.items()
    ]
    follower.load({entry.key: entry for entry in entries})


def test_only_replicas_outside_of_evacuated_domains_are_usable():
    """Guard against work for replicas before the prefix was read."""

    async def scenario():
        state = evacuations.FollowedEvacuations(_Store(), _Codec(), LIMIT_S)
        directory, reported = (
            directories.Directory(_Store(), _Codec(), state),
            [],
        )
        _load(directory, x=b"a", y=b"b")
        directory.listen(
            lambda changed: reported.append(
                (
                    sorted(changed.replica_ids),
                    changed.is_membership,
                    sorted(one.replica_id for one in directory.usable("lm")),
                )
            )
        )
        assert not directory.usable()
        _load(state, b=b"{}")
        state.change(keyvalue.Change("e/a", b"{}", 2))
        assert directory.is_evacuated("lm")
        assert directory.is_present("r/x")
        _load(state)
        state.change(keyvalue.Change("e/b", b"{}", 3))
        state.change(keyvalue.Change("e/b", None, 4))
        return reported

    assert asyncio.run(scenario()) == [
        (["r/x", "r/y"], True, ["r/x"]),
        (["r/x"], True, []),
        (["r/x", "r/y"], True, ["r/x", "r/y"]),
        (["r/y"], True, ["r/x"]),
        (["r/y"], True, ["r/x", "r/y"]),
    ]


class _SlowPool:
    """A pool in which an evacuation begins while a connection is opened."""

    def __init__(self, directory):
        self._directory = directory
        self.sent = []

    async def acquire(self, key, address, use=None):
        self._directory.evacuated = True
        return types.SimpleNamespace(
            send=lambda *args: self.sent.append(args), close=lambda: None
        )


class _SmallDirectory:
    evacuated = False

    def listen(self, callback):
        pass

    def may_receive(self, replica):
        return not self.evacuated


def test_nothing_is_sent_on_a_connection_that_opens_after_the_evacuation():
    """Guard against requests that were assigned before and sent after it."""
    replica = facts.Replica("r", "lm", None, "b", 4)
    item = facts.Item("i", "/", (), b"", "g")
    request = runners.RunRequest(item, "h", None, 0, False, 1.0)

    async def send_item():
        directory = _SmallDirectory()
        pool = _SlowPool(directory)
        runner = runners.Runner(None, pool, directory.may_receive)
        result = await runner.run(request, replica, None)
        assert result.end is runners.RunEnd.EVACUATED
        return pool.sent

    async def send_call():
        directory = _SmallDirectory()
        pool = _SlowPool(directory)
        forwarder = forwarding.Forwarder(
            None, directory, pool, None, None, None, None
        )
        with pytest.raises(exceptions.BackendFailed) as caught:
            await forwarder.fetch_response(replica, None, None, None, 1.0)
        assert caught.value.verdict is verdicts.Verdict.NOT_RUN
        assert caught.value.reason is reasons.Refusal.EVACUATED
        return pool.sent

    assert asyncio.run(send_item()) == asyncio.run(send_call()) == []


class _World(worlds.World):
    """Entries in two failure domains that follow evacuations."""

    def __init__(self):
        super().__init__({"e1": "a", "e2": "a", "e3": "a", "f1": "b"})
        self.states = [
            evacuations.FollowedEvacuations(one.connection, _Codec(), LIMIT_S)
            for one in self.alive
        ]
        for state, one in zip(self.states, self.alive, strict=True):
            state.start(one.neighbours_finder, one.feeds)

    @property
    def reader(self):
        """The process that reads the store for failure domain a."""
        return next(
            self.processes_by_name[name]
            for name in self.watchers()
            if name.startswith("e")
        )

    async def stop(self):
        for state in self.states:
            await state.stop()
        await super().stop()


async def _kill_reader(world):
    reader = world.reader
    index = world.alive.index(reader)
    await world.states.pop(index).stop()
    await reader.stop()


async def _silence_reader(world):
    world.silent.add(world.reader.connection._name)


async def _lose_history(world):
    world.store.write(1)
    world.store.forget()


async def _refuse_reader(world):
    connection = world.reader.connection
    read = connection.get_prefix
    refusals = [exceptions.KeyValueUnavailable("429")] * 6

    async def read_unless_refused(prefix):
        if prefix == _Codec.evacuations_prefix and refusals:
            raise refusals.pop()
        return await read(prefix)

    connection.get_prefix = read_unless_refused
    await _lose_history(world)


@pytest.mark.parametrize(
    "fail", [_kill_reader, _silence_reader, _lose_history]
)
def test_an_evacuation_is_in_force_in_time(run_virtual, fail):
    """Guard against entries that learn of an evacuation after its limit."""

    async def scenario():
        world = _World()
        await asyncio.sleep(20.0)
        await fail(world)
        world.store.write("{}", KEY)
        await asyncio.sleep(LIMIT_S)
        found = [(one.allows("a"), one.allows("b")) for one in world.states]
        del world.store.entries_by_key[KEY]
        await _lose_history(world)
        await asyncio.sleep(LIMIT_S)
        ended = [one.allows("b") for one in world.states]
        await world.stop()
        return found, ended

    found, ended = run_virtual(scenario())
    assert set(found) == {(True, False)}
    assert all(ended)


def test_an_unstable_store_delays_an_evacuation_by_few_retries(run_virtual):
    """Guard against waits that double while a watch is refused."""

    async def scenario():
        world = _World()
        await asyncio.sleep(20.0)
        await _refuse_reader(world)
        world.store.write("{}", KEY)
        await asyncio.sleep(LIMIT_S + 6.0)
        found = [one.allows("b") for one in world.states]
        await world.stop()
        return found

    assert not any(run_virtual(scenario()))


def test_the_last_known_evacuations_stay_in_force_in_an_outage(run_virtual):
    """Guard against an outage of the store that ends an evacuation."""

    async def scenario():
        world = _World()
        world.store.write("{}", KEY)
        await asyncio.sleep(20.0)
        for process in world.alive:
            process.connection.cut()
        await asyncio.sleep(60.0)
        found = [(one.allows("a"), one.allows("b")) for one in world.states]
        await world.stop()
        return found

    assert set(run_virtual(scenario())) == {(True, False)}
