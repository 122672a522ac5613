"""The registry and the lifecycle of services."""

import asyncio

import pytest

from anvilwell_kernel import exceptions
from anvilwell_kernel import services


class FakeService(services.Service):
    """Records the calls of its lifecycle methods."""

    def __init__(self, calls, name, *needs, fails=False):
        self.name = name
        self.needs = needs
        self._calls = calls
        self._fails = fails

    async def start(self, kernel):
        self._calls.append(f"start {self.name}")
        if self._fails:
            raise exceptions.Refused("no")

    async def drain(self):
        self._calls.append(f"drain {self.name}")

    async def stop(self):
        self._calls.append(f"stop {self.name}")


@pytest.fixture
def calls():
    return []


def test_services_start_and_stop_in_dependency_order(calls):
    kernel = services.Kernel(
        [
            FakeService(calls, "web", "dispatcher"),
            FakeService(calls, "dispatcher", "links"),
            FakeService(calls, "links"),
        ]
    )

    async def live():
        await kernel.start()
        await kernel.drain()
        await kernel.stop()

    asyncio.run(live())

    up = ["links", "dispatcher", "web"]
    down = up[::-1]
    assert calls == [
        *(f"start {name}" for name in up),
        *(f"drain {name}" for name in down),
        *(f"stop {name}" for name in down),
    ]


def test_failed_start_stops_what_was_started(calls):
    kernel = services.Kernel(
        [
            FakeService(calls, "last", "second"),
            FakeService(calls, "second", "first", fails=True),
            FakeService(calls, "first"),
        ]
    )

    async def live():
        with pytest.raises(exceptions.Refused):
            await kernel.start()
        await kernel.stop()
        await kernel.stop()

    asyncio.run(live())

    assert calls == [
        "start first",
        "start second",
        "stop second",
        "stop first",
    ]


def test_cycle_is_named(calls):
    kernel = services.Kernel(
        [
            FakeService(calls, "a", "b"),
            FakeService(calls, "b", "c"),
            FakeService(calls, "c", "a"),
        ]
    )

    with pytest.raises(exceptions.Conflict, match="a -> b -> c -> a"):
        asyncio.run(kernel.start())
    assert not calls


def test_missing_service_is_named(calls):
    kernel = services.Kernel([FakeService(calls, "a", "absent")])

    with pytest.raises(exceptions.NotFound, match="absent"):
        asyncio.run(kernel.start())


def test_names_must_be_unique(calls):
    with pytest.raises(exceptions.Conflict, match="'a'"):
        services.Kernel([FakeService(calls, "a"), FakeService(calls, "a")])


def test_lookup_by_name(calls):
    part = FakeService(calls, "a")
    kernel = services.Kernel([part])

    assert kernel.get("a") is part
    assert kernel.has("a")
    assert not kernel.has("b")
    assert kernel.unready() == []
