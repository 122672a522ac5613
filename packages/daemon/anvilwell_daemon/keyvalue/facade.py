"""An asyncio facade over the blocking key-value port."""

import asyncio
from concurrent import futures
import functools

from anvilwell_daemon.keyvalue import meter
from anvilwell_daemon.keyvalue import watches
from anvilwell_kernel import exceptions
from anvilwell_kernel import services

THREADS = 8
TIMEOUT_S = 1.0


class KeyValueFacade(services.Service):
    """The port's calls as coroutines, each on a thread and metered.

    Parameters
    ----------
    port : anvilwell_outside.ports.keyvalue.KeyValue
        The store.
    timeout_s : float
        Deadline of calls that name none.
    threads : int
        Calls under way at a time; more wait for a thread.
    """

    name = "keyvalue"

    def __init__(self, port, *, timeout_s=TIMEOUT_S, threads=THREADS):
        self._port = port
        self._timeout_s = timeout_s
        self._threads = futures.ThreadPoolExecutor(
            threads, thread_name_prefix=self.name
        )
        self._watches = set()

    async def stop(self):
        """Let go of the watches and the threads."""
        for watch in list(self._watches):
            watch.close()
        self._threads.shutdown(wait=False, cancel_futures=True)

    async def get(self, key, *, purpose, timeout_s=None):
        """Return the entry of `key`, or None."""
        return await self._read(self._port.get, key, purpose, timeout_s)

    async def get_prefix(self, prefix, *, purpose, timeout_s=None):
        """Return the snapshot of all keys with `prefix`."""
        call = self._port.get_prefix
        return await self._read(call, prefix, purpose, timeout_s)

    async def swap(self, swaps, *, purpose, timeout_s=None):
        """Apply all `swaps` or none, and return a ``SwapResult``.

        `swaps` may hold the port's ``Guard``s too.
        """
        return await self._write(self._port.swap, swaps, purpose, timeout_s)

    async def grant(self, ttl_s, *, purpose, timeout_s=None):
        """Return the id of a new lease of `ttl_s` seconds."""
        return await self._write(self._port.grant, ttl_s, purpose, timeout_s)

    async def keep_alive(self, lease, *, purpose, timeout_s=None):
        """Renew `lease`; return seconds granted, 0 if it has lapsed."""
        call = self._port.keep_alive
        return await self._write(call, lease, purpose, timeout_s)

    async def revoke(self, lease, *, purpose, timeout_s=None):
        """End `lease` and delete its keys."""
        return await self._write(self._port.revoke, lease, purpose, timeout_s)

    async def watch(self, prefix, from_revision, *, purpose, timeout_s):
        """Yield each change under `prefix`; end on `timeout_s` idle.

        When the consumer leaves or the facade stops, the watch ends at
        the service too.
        """
        blocking = functools.partial(
            self._port.watch,
            prefix,
            from_revision,
            purpose=purpose,
            timeout_s=timeout_s,
        )
        watch = watches.Watch(blocking, purpose)
        self._watches.add(watch)
        try:
            async for change in watch.changes():
                yield change
        finally:
            watch.close()
            self._watches.discard(watch)

    async def _read(self, call, argument, purpose, timeout_s):
        access = meter.Access.READ
        return await self._run(call, argument, purpose, timeout_s, access)

    async def _write(self, call, argument, purpose, timeout_s):
        access = meter.Access.WRITE
        return await self._run(call, argument, purpose, timeout_s, access)

    async def _run(self, call, argument, purpose, timeout_s, access):
        blocking = functools.partial(
            call,
            argument,
            purpose=purpose,
            timeout_s=self._timeout_s if timeout_s is None else timeout_s,
        )
        loop = asyncio.get_running_loop()
        try:
            result = await loop.run_in_executor(self._threads, blocking)
        except exceptions.KeyValueUnavailable:
            meter.count_call(purpose, access, meter.Outcome.UNAVAILABLE)
            raise
        meter.count_call(purpose, access, meter.Outcome.ANSWERED)
        return result
