"""The key-value facade over a fake of the port."""

import asyncio
import threading

import pytest

from anvilwell_daemon.keyvalue import facade
from anvilwell_kernel import exceptions
from anvilwell_outside.adapters import etcd
from anvilwell_outside.adapters import http_client
from anvilwell_outside.ports import keyvalue as port
from anvilwell_standins.keyvalue import server

PURPOSE = port.Purpose.LEASE


class FakeWatch(port.Watch):
    """Iterates over `changes`; ``close`` sets the event they wait for."""

    def __init__(self, changes, released):
        self._changes = changes
        self._released = released

    def __next__(self):
        return next(self._changes)

    def close(self):
        self._released.set()


class FakePort:
    """Implements the calls of the port that these tests need."""

    def __init__(self):
        self.calls = []
        self.released = threading.Event()

    def get(self, key, *, purpose, timeout_s):
        self.calls.append((key, purpose, timeout_s))
        if key == "down":
            raise exceptions.KeyValueUnavailable("down")
        return port.Entry(key, b"v", 1)

    def watch(self, prefix, from_revision, *, purpose, timeout_s):
        changes = self._changes(prefix, from_revision, timeout_s)
        return FakeWatch(changes, self.released)

    def _changes(self, prefix, from_revision, timeout_s):
        yield port.Change(prefix, b"1", from_revision)
        if prefix == "fails":
            raise exceptions.KeyValueUnavailable("cut")
        self.released.wait(timeout_s)
        yield port.Change(prefix, b"2", from_revision + 1)


def run(work):
    async def main():
        fake = FakePort()
        service = facade.KeyValueFacade(fake, timeout_s=5.0)
        try:
            return await work(service, fake)
        finally:
            fake.released.set()
            await service.stop()

    return asyncio.run(main())


def test_call_passes_purpose_and_default_deadline():
    async def work(service, fake):
        entry = await service.get("k", purpose=PURPOSE)
        assert entry == port.Entry("k", b"v", 1)
        assert fake.calls == [("k", PURPOSE, 5.0)]

    run(work)


def test_unavailable_is_raised_to_the_caller():
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
            fake.released.set()
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


@pytest.mark.parametrize("is_stopped", [True, False])
def test_closed_watch_is_also_closed_at_the_service(is_stopped, monkeypatch):
    """A stopped daemon and a cancelled consumer both close the watch."""
    # The stand-in detects a closed connection when it writes its next
    # progress line.
    monkeypatch.setattr(server, "PROGRESS_S", 0.2)

    async def wait_for(standin, count):
        async with asyncio.timeout(30.0):
            while standin.counts_by_call()["watches waiting"] != count:
                await asyncio.sleep(0.01)

    async def consume(service):
        async for _ in service.watch("p", 1, purpose=PURPOSE, timeout_s=600.0):
            pass

    async def main(standin, store):
        service = facade.KeyValueFacade(store)
        consumer = asyncio.create_task(consume(service))
        await wait_for(standin, 1)
        if is_stopped:
            await service.stop()
        else:
            consumer.cancel()
        await asyncio.gather(consumer, return_exceptions=True)
        await wait_for(standin, 0)
        await service.stop()

    with server.KeyValue() as standin:
        store = etcd.Etcd(http_client.HttpClient(standin.address))
        asyncio.run(main(standin, store))
        store.close()
