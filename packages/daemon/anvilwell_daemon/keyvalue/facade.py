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
    """Runs the port's blocking calls on threads and counts them.

    Parameters
    ----------
    port : anvilwell_outside.ports.keyvalue.KeyValue
        The adapter of the key-value service.
    timeout_s : float
        Timeout of calls that are made without one.
    threads : int
        Maximum number of concurrent calls; further calls wait for a
        thread. Watches run on threads of their own.
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
        """Close the watches and shut down the threads."""
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

        `swaps` may also contain ``Guard`` objects of the port.
        """
        return await self._write(self._port.swap, swaps, purpose, timeout_s)

    async def grant(self, ttl_s, *, purpose, timeout_s=None):
        """Return the id of a new lease of `ttl_s` seconds."""
        return await self._write(self._port.grant, ttl_s, purpose, timeout_s)

    async def keep_alive(self, lease, *, purpose, timeout_s=None):
        """Renew `lease`; return the seconds granted, 0 if it expired."""
        call = self._port.keep_alive
        return await self._write(call, lease, purpose, timeout_s)

    async def revoke(self, lease, *, purpose, timeout_s=None):
        """End `lease` and delete its keys."""
        return await self._write(self._port.revoke, lease, purpose, timeout_s)

    async def watch(self, prefix, from_revision, *, purpose, timeout_s):
        """Yield changes under `prefix` until none comes for `timeout_s`.

        When the consumer stops iterating or the facade stops, the
        watch is also closed at the key-value service.
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
