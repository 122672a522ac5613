"""Tests when an agent reads the engines of its service."""

import asyncio
import types

from anvilwell_decisions.traffic import facts
from anvilwell_gateway import engine_listing
from anvilwell_gateway import notices
from anvilwell_kernel import exceptions
from anvilwell_outside.ports import keyvalue
import pytest


class _Codec:
    replicas_prefix = "r/"

    def read_replica(self, key, value):
        return facts.Replica(key, value.decode(), key, "a", 4)


class _Store:
    """A store with a number of engines of one service, and one of another."""

    def __init__(self, engines):
        services = {f"r/{n}": b"lm" for n in range(engines)}
        self.entries_by_key = {
            key: keyvalue.Entry(key, service, 1)
            for key, service in (services | {"r/x": b"app"}).items()
        }
        self.reads = 0
        self.is_away = False

    async def get_prefix(self, prefix, may_be_stale):
        self.reads += 1
        if self.is_away:
            raise exceptions.KeyValueUnavailable("no answer")
        return types.SimpleNamespace(entries_by_key=self.entries_by_key)


@pytest.mark.parametrize(
    ("engines", "reads"),
    [
        (engine_listing.LARGE_SERVICE_ENGINES, 4),
        (engine_listing.LARGE_SERVICE_ENGINES + 1, 3),
    ],
)
def test_many_engines_are_read_again_only_without_a_confirmation(
    run_virtual, engines, reads
):
    async def scenario():
        store, clock = _Store(engines), asyncio.get_running_loop().time
        engines_of_service = engine_listing.EngineListing(
            store, _Codec(), "lm"
        )
        addresses = await engines_of_service.find(notices.EngineDigest())
        await asyncio.sleep(engine_listing.MAX_READ_AGE_S)
        same = notices.EngineDigest(notices.digest(addresses), clock())
        assert await engines_of_service.find(same) == addresses
        await asyncio.sleep(engine_listing.MAX_READ_AGE_S)
        other = notices.EngineDigest(same.digest + 1, clock())
        assert await engines_of_service.find(other) == addresses
        await asyncio.sleep(engine_listing.REPORT_VALIDITY_S)
        assert await engines_of_service.find(same) == addresses
        return len(addresses), store.reads

    assert run_virtual(scenario()) == (engines, reads)


def test_a_recent_read_is_not_repeated(run_virtual):
    async def scenario():
        store = _Store(2)
        engines_of_service = engine_listing.EngineListing(
            store, _Codec(), "lm"
        )
        for _ in range(3):
            finds = (
                engines_of_service.find(notices.EngineDigest())
                for _ in range(3)
            )
            assert len(set(map(tuple, await asyncio.gather(*finds)))) == 1
            await asyncio.sleep(engine_listing.MAX_READ_AGE_S)
        return store.reads

    assert run_virtual(scenario()) == 3


def test_an_unreadable_store_gives_no_engines(run_virtual):
    async def scenario():
        store = _Store(2)
        store.is_away = True
        engines_of_service = engine_listing.EngineListing(
            store, _Codec(), "lm"
        )
        return await engines_of_service.find(
            notices.EngineDigest()
        ), engines_of_service.age_s

    assert run_virtual(scenario()) == ([], float("inf"))
