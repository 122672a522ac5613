"""The naive way: each daemon watches, polls and holds a lease."""

import asyncio
import contextlib

from anvilwell_bench.configuration import fleet
from anvilwell_daemon.keyvalue import facade
from anvilwell_kernel import exceptions
from anvilwell_outside.adapters import etcd
from anvilwell_outside.adapters import http_client
from anvilwell_outside.ports import keyvalue as ports

KEY = "naive/config/stops"
POLL_S = 1.0
LEASE_S = 15
RENEW_S = 5.0
WATCH_S = 60.0
PURPOSE = ports.Purpose.CONFIGURATION


class NaiveDaemon:
    """Knows the document from its own watch, or from its own poll.

    Parameters
    ----------
    address : str
        ``host:port`` of the key-value service.
    meter : meter.CallMeter
        Counts the calls.
    applied : callable
        Called with each generation when it is known here.
    """

    def __init__(self, address, meter, applied):
        self._client = http_client.HttpClient(address)
        self.keyvalue = facade.KeyValueFacade(
            etcd.Etcd(self._client, meter), threads=fleet.THREADS
        )
        self._applied = applied
        self._generation = 0
        self._tasks = []

    async def start(self):
        """Begin to watch, poll and renew."""
        works = (self._watch(), self._poll(), self._renew())
        self._tasks = [asyncio.create_task(work) for work in works]

    async def stop(self):
        """Stop all three."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.keyvalue.stop()
        self._client.close()

    async def change(self, generation):
        """Write the next generation; the operator's part."""
        entry = await self.keyvalue.get(KEY, purpose=PURPOSE)
        expected = entry.revision if entry else 0
        swap = ports.Swap(KEY, expected, str(generation).encode())
        await self.keyvalue.swap([swap], purpose=PURPOSE)

    async def _watch(self):
        while True:
            changes = self.keyvalue.watch(
                KEY, 0, purpose=PURPOSE, timeout_s=WATCH_S
            )
            with contextlib.suppress(exceptions.AnvilwellError):
                async for change in changes:
                    self._learn(change.value)

    async def _poll(self):
        while True:
            await asyncio.sleep(POLL_S)
            with contextlib.suppress(exceptions.AnvilwellError):
                entry = await self.keyvalue.get(KEY, purpose=PURPOSE)
                self._learn(entry.value if entry else b"0")

    async def _renew(self):
        purpose = ports.Purpose.LEASE
        lease = await self.keyvalue.grant(LEASE_S, purpose=purpose)
        while True:
            await asyncio.sleep(RENEW_S)
            with contextlib.suppress(exceptions.AnvilwellError):
                await self.keyvalue.keep_alive(lease, purpose=purpose)

    def _learn(self, value):
        generation = int(value)
        if generation > self._generation:
            self._generation = generation
            self._applied(generation)
