"""The facade over a small fake of the port."""

import asyncio
import threading

import pytest

from anvilwell_daemon.keyvalue import facade
from anvilwell_kernel import exceptions
from anvilwell_platform.ports import keyvalue as port

PURPOSE = port.Purpose.LEASE


class FakePort:
    """Answers from lists; only what the tests call."""

    def __init__(self):
        self.calls = []
        self.gate = threading.Event()

    def get(self, key, *, purpose, timeout_s):
        self.calls.append((key, purpose, timeout_s))
        if key == "down":
            raise exceptions.KeyValueUnavailable("down")
        return port.Entry(key, b"v", 1)

    def watch(self, prefix, from_revision, *, purpose, timeout_s):
        yield port.Change(prefix, b"1", from_revision)
        if prefix == "fails":
            raise exceptions.KeyValueUnavailable("cut")
        self.gate.wait(timeout_s)
        yield port.Change(prefix, b"2", from_revision + 1)


def run(work):
    async def main():
        fake = FakePort()
        service = facade.KeyValueFacade(fake, timeout_s=5.0)
        try:
            return await work(service, fake)
        finally:
            fake.gate.set()
            await service.stop()

    return asyncio.run(main())


def test_call_passes_purpose_and_default_deadline():
    async def work(service, fake):
        entry = await service.get("k", purpose=PURPOSE)
        assert entry == port.Entry("k", b"v", 1)
        assert fake.calls == [("k", PURPOSE, 5.0)]

    run(work)


def test_unavailable_reaches_the_caller():
    async def work(service, fake):
        with pytest.raises(exceptions.KeyValueUnavailable):
            await service.get("down", purpose=PURPOSE)

    run(work)


def test_watch_yields_changes_while_it_waits():
    async def work(service, fake):
        seen = []
        async for change in service.watch(
            "p", 3, purpose=PURPOSE, timeout_s=30.0
        ):
            seen.append(change.revision)
            fake.gate.set()
        assert seen == [3, 4]

    run(work)


def test_watch_raises_what_the_port_raised():
    async def work(service, fake):
        with pytest.raises(exceptions.KeyValueUnavailable):
            async for _ in service.watch(
                "fails", 1, purpose=PURPOSE, timeout_s=1.0
            ):
                pass

    run(work)
