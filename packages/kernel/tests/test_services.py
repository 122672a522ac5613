"""The lifecycle of the named services."""

import asyncio

import pytest

from anvilwell_kernel import exceptions
from anvilwell_kernel import services


class Part(services.Service):
    """Notes what happens to it."""

    def __init__(self, notes, name, *needs, fails=False):
        self.name = name
        self.needs = needs
        self._notes = notes
        self._fails = fails

    async def start(self, kernel):
        self._notes.append(f"start {self.name}")
        if self._fails:
            raise exceptions.Refused("no")

    async def drain(self):
        self._notes.append(f"drain {self.name}")

    async def stop(self):
        self._notes.append(f"stop {self.name}")


@pytest.fixture
def notes():
    return []


def test_lifecycle_follows_the_needs(notes):
    kernel = services.Kernel(
        [
            Part(notes, "web", "dispatcher"),
            Part(notes, "dispatcher", "links"),
            Part(notes, "links"),
        ]
    )

    async def live():
        await kernel.start()
        await kernel.drain()
        await kernel.stop()

    asyncio.run(live())

    up = ["links", "dispatcher", "web"]
    down = up[::-1]
    assert notes == [
        *(f"start {name}" for name in up),
        *(f"drain {name}" for name in down),
        *(f"stop {name}" for name in down),
    ]


def test_failed_start_stops_what_was_started(notes):
    kernel = services.Kernel(
        [
            Part(notes, "last", "second"),
            Part(notes, "second", "first", fails=True),
            Part(notes, "first"),
        ]
    )

    async def live():
        with pytest.raises(exceptions.Refused):
            await kernel.start()
        await kernel.stop()
        await kernel.stop()

    asyncio.run(live())

    assert notes == [
        "start first",
        "start second",
        "stop second",
        "stop first",
    ]


def test_cycle_is_named(notes):
    kernel = services.Kernel(
        [Part(notes, "a", "b"), Part(notes, "b", "c"), Part(notes, "c", "a")]
    )

    with pytest.raises(exceptions.Conflict, match="a -> b -> c -> a"):
        asyncio.run(kernel.start())
    assert not notes


def test_missing_need_is_named(notes):
    kernel = services.Kernel([Part(notes, "a", "absent")])

    with pytest.raises(exceptions.NotFound, match="absent"):
        asyncio.run(kernel.start())


def test_name_is_given_once(notes):
    with pytest.raises(exceptions.Conflict, match="'a'"):
        services.Kernel([Part(notes, "a"), Part(notes, "a")])


def test_lookup_by_name(notes):
    part = Part(notes, "a")
    kernel = services.Kernel([part])

    assert kernel.get("a") is part
    assert kernel.has("a")
    assert not kernel.has("b")
    assert kernel.unready() == []
