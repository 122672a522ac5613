"""The service ``leases``: leader election with fencing numbers."""

import asyncio
import random

from anvilwell_daemon.leases import lease as leases
from anvilwell_decisions.leases import leadership
from anvilwell_decisions.leases import session as sessions
from anvilwell_kernel import clock as clocks
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import services
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs
from anvilwell_outside.ports import keyvalue as port

PURPOSE = port.Purpose.LEASE
WATCH_SHARE = 0.5
RENEW_TICK_S = 0.25
FIRST_RETRY_S = 0.1
LAST_RETRY_S = 2.0
RELEASE_ATTEMPTS = 3

_LOG = logs.get_logger(__name__)


class Leases(services.Service):
    """Runs for leaderships and keeps those that this daemon has won.

    All leaderships share one key-value lease, which is renewed only
    while at least one is held. The write load therefore grows with the
    number of leading daemons, not with the number of leaderships.
    """

    name = "leases"
    needs = ("keyvalue",)

    def __init__(self, vm_id, *, ttl_s=sessions.TTL_S, clock=None, rng=None):
        self._vm_id = vm_id
        self._clock = clock or clocks.SystemClock()
        self._rng = rng or random.Random()
        self._session = sessions.Session(ttl_s)
        self._leaderships_by_name = {}
        self._leases_by_name = {}
        self._wanted = set()
        self._grant_lock = asyncio.Lock()
        self._keyvalue = None
        self._renewal = None

    @classmethod
    def from_config(cls, settings):
        """Return the service for the daemon with `settings`."""
        return cls(settings.daemon.vm_id)

    async def start(self, kernel):
        """Start the task that renews the key-value lease."""
        self._keyvalue = kernel.get("keyvalue")
        self._renewal = asyncio.create_task(self._renew())

    async def drain(self):
        """Release all leaderships, so that others need not wait."""
        held = list(self._leases_by_name.values())
        await asyncio.gather(*(self.release(lease) for lease in held))

    async def stop(self):
        """Stop renewing; leaderships that are still held expire."""
        if self._renewal:
            self._renewal.cancel()
            await asyncio.gather(self._renewal, return_exceptions=True)
        for lease in self._leases_by_name.values():
            lease.end()

    async def hold(self, name):
        """Wait until this daemon leads `name`; return a ``Lease``.

        Keeps trying through outages of the key-value service. Cancel
        the call to withdraw the candidacy.

        Raises
        ------
        exceptions.Conflict
            If this daemon already holds `name` or is a candidate.
        """
        if name in self._wanted or name in self._leases_by_name:
            raise exceptions.Conflict(
                f"this daemon already holds or is a candidate for {name}"
            )
        self._wanted.add(name)
        try:
            tenure = await self._campaign(name)
        finally:
            self._wanted.discard(name)
        lease = leases.Lease(tenure, self._session, self._clock)
        self._leases_by_name[name] = lease
        _LOG.log("won", name=name, fencing=tenure.fencing)
        return lease

    async def release(self, lease):
        """Release `lease`; call ``hold`` to win the leadership again."""
        lease.end()
        if self._leases_by_name.get(lease.name) is not lease:
            return
        try:
            await self._delete(lease)
        finally:
            self._leases_by_name.pop(lease.name, None)

    async def highest(self, name):
        """Return the highest fencing number ever issued for `name`.

        Raises
        ------
        exceptions.KeyValueUnavailable
            If the key-value service did not answer.
        """
        snapshot = await self._read(name)
        return leadership.read_fencing(snapshot.entries_by_key, name)

    def refused(self, name, highest):
        """Record that a fencing gate has seen the number `highest`.

        The next takeover of `name` uses a number above it.
        """
        self._leadership(name).record_higher(highest)

    def _leadership(self, name):
        return self._leaderships_by_name.setdefault(
            name, leadership.Leadership(name, self._vm_id)
        )

    async def _campaign(self, name):
        retry_s = FIRST_RETRY_S
        while True:
            try:
                tenure = await self._try_take_over(name)
                pause_s = self._session.ttl_s * WATCH_SHARE
                retry_s = FIRST_RETRY_S
            except exceptions.KeyValueUnavailable as error:
                counters.count_retry(reasons.Retry.KEY_VALUE, name)
                _LOG.log("cannot-stand", name=name, cause=error.message)
                tenure, pause_s = None, retry_s
                retry_s = min(retry_s * 2, LAST_RETRY_S)
            if tenure:
                return tenure
            await asyncio.sleep(pause_s * self._rng.uniform(0.8, 1.2))

    async def _try_take_over(self, name):
        """Take over `name` if it is free; return the tenure or None."""
        candidate = self._leadership(name)
        snapshot = await self._read(name)
        found = snapshot.entries_by_key
        lease = self._session.lease
        standing = candidate.standing(found, lease)
        if standing is leadership.Standing.OURS:
            return candidate.read_tenure(found, lease)
        if standing is leadership.Standing.OTHERS:
            return None
        lease = await self._live_lease()
        writes = candidate.takeover_writes(found, lease)
        swaps = [port.Swap(*write) for write in writes]
        result = await self._keyvalue.swap(swaps, purpose=PURPOSE)
        if not result.landed:
            return None
        return candidate.won_tenure(writes, lease)

    async def _live_lease(self):
        async with self._grant_lock:
            while not self._session.is_held(self._clock.monotonic()):
                await self._call(self._session.next_call(self._now()))
        return self._session.lease

    async def _read(self, name):
        prefix = leadership.keys(name).prefix
        return await self._keyvalue.get_prefix(prefix, purpose=PURPOSE)

    async def _delete(self, lease):
        keys = leadership.keys(lease.name)
        for _ in range(RELEASE_ATTEMPTS):
            try:
                found = (await self._read(lease.name)).entries_by_key
                entry = found.get(keys.holder)
                if entry is None or not lease.is_under(entry.lease):
                    return
                swap = port.Swap(keys.holder, entry.revision, None)
                await self._keyvalue.swap([swap], purpose=PURPOSE)
                return
            except exceptions.KeyValueUnavailable as error:
                _LOG.log("release-unsure", name=lease.name, cause=str(error))

    async def _renew(self):
        while True:
            await asyncio.sleep(RENEW_TICK_S * self._rng.uniform(0.8, 1.2))
            if not self._leases_by_name:
                continue
            call = self._session.next_call(self._now())
            if isinstance(call, sessions.KeepAlive):
                await self._try_call(call)
            self._end_lost()

    async def _try_call(self, call):
        try:
            await self._call(call)
        except exceptions.KeyValueUnavailable as error:
            counters.count_retry(reasons.Retry.KEY_VALUE, "leases")
            _LOG.log("not-renewed", cause=error.message)

    async def _call(self, call):
        sent_at = self._now()
        if isinstance(call, sessions.Grant):
            lease = await self._keyvalue.grant(call.ttl_s, purpose=PURPOSE)
            self._session.granted(lease, sent_at)
        elif isinstance(call, sessions.KeepAlive):
            granted_s = await self._keyvalue.keep_alive(
                call.lease, purpose=PURPOSE
            )
            self._session.renewed(call.lease, sent_at, granted_s)

    def _end_lost(self):
        for name, lease in list(self._leases_by_name.items()):
            if not lease.is_under(self._session.lease):
                lease.end()
                del self._leases_by_name[name]
                _LOG.log("lost", name=name, fencing=lease.fencing)

    def _now(self):
        return self._clock.monotonic()
