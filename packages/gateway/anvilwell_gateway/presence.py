"""The process's lease and its live key."""

import asyncio
import uuid

from anvilwell_decisions.leases import session as sessions
import cbor2

from anvilwell_gateway import live_keys
from anvilwell_gateway import measures
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs
from anvilwell_outside.ports import keyvalue

# Others take over this long after a crash. Five tries of a renewal fit in
# it; with half of them lost, one lease in thirty lapses.
TTL_S = 3.5
RENEW_S = 0.7
# After a renewal that failed, in seconds.
RETRY_S = 0.1
# Without an answer for so long, the store counts as away.
OUT_OF_TOUCH_S = 1.5
# Without one for so long, an entry does not vouch for what it tells others.
# With the 0.2 s between its looks and a read of the store itself, a change
# is in force there within two seconds all the same.
MAX_ANSWER_AGE_S = 1.2
# An answer that is newer than this came after the last one that an entry
# got which no longer vouches: all renew in the same step.
RECENT_ANSWER_S = MAX_ANSWER_AGE_S - RENEW_S

_LOG = logs.get_logger(__name__)
# After an outage so long the leases of those that live may have lapsed.
LONG_OUTAGE_S = TTL_S - RENEW_S
# Processes are back in touch within so long of each other, in seconds: a
# call that hangs takes up to a second, a look at the direct path as well.
REREGISTRATION_S = 1.0


class Presence:
    """Keeps this process's live key while the store is in reach.

    Parameters
    ----------
    store : store.AsyncStore
        Where the key lies.
    vm_id : str
        This VM.
    failure_domain : str
        Where it is.
    capacity : float
        What it can process, in cores.
    link_mbps : float
        What its link carries, in Mbit/s; 0 if that is not known.
    """

    def __init__(
        self,
        store,
        vm_id,
        failure_domain="",
        capacity=1.0,
        link_mbps=0.0,
    ):
        self._store = store
        self._link_mbps = link_mbps
        self._capacity = capacity
        self._failure_domain = failure_domain
        self._task = None
        self._lease = 0
        self._pending_lease = 0
        self._pending_since = 0.0
        self._session = sessions.Session(TTL_S)
        self._answered_at = float("-inf")
        # Whether the store has answered at all, and when after an outage.
        self._has_answered = False
        self._regained_at = float("-inf")
        # Others may have taken over what this process held until then.
        self.lapsed_at = float("-inf")
        self._rewrite = asyncio.Event()
        self._has_failed = False
        self._peers = ""
        self.vm_id = vm_id
        self.incarnation = uuid.uuid4().hex

    def start(self, peers):
        """Begin to register and renew; `peers` is where others ask us."""
        self._peers = str(peers)
        self._task = asyncio.create_task(self._keep())

    async def stop(self):
        """End the lease: others take over at once."""
        task, self._task = self._task, None
        if task is None:
            return
        await tasks.stop(task)
        # From now on another may hold what goes with the lease.
        self._session.lease = 0
        if self._lease:
            try:
                await self._store.revoke(self._lease)
            except exceptions.AnvilwellError as error:
                _LOG.log("lease-not-ended", cause=error.message)

    @property
    def session(self):
        """Until when this process may act under its lease."""
        return self._session

    @property
    def is_registered(self):
        """Whether the live key was written and is not known to be lost."""
        return self._lease != 0

    def is_in_touch(self):
        """Return whether the store answered lately."""
        return self.answer_age_s() < OUT_OF_TOUCH_S

    def has_answered_recently(self):
        """Return whether the store answers, though not a silent entry."""
        return self.answer_age_s() < RECENT_ANSWER_S

    def can_confirm_ownership(self):
        """Return whether the store answered so lately that nothing is old."""
        return self.answer_age_s() < MAX_ANSWER_AGE_S

    def answer_age_s(self):
        """Return how long ago the store answered, in seconds."""
        return asyncio.get_running_loop().time() - self._answered_at

    def gauge_values(self):
        """Return whether the live key is there and the store in touch."""
        return [
            measures.GaugeValue("registered", self.is_registered),
            measures.GaugeValue("store_in_touch", self.is_in_touch()),
        ]

    def renew_soon(self):
        """Renew now if that is overdue, as the store answers again."""
        if self.answer_age_s() > RENEW_S:
            self._rewrite.set()

    def takeover_grace_s(self):
        """Return for how long others may still be cut off, in seconds.

        After an outage that let leases lapse each process registers again
        once the store answers it. Until then it looks like a dead one.
        """
        if not self._has_answered:
            return 0.0
        if self.answer_age_s() >= LONG_OUTAGE_S:
            return REREGISTRATION_S
        now = asyncio.get_running_loop().time()
        return max(0.0, self._regained_at + REREGISTRATION_S - now)

    def key_lost(self):
        """Note that the live key is gone; it is written again."""
        self._mark_lapsed()
        self._rewrite.set()

    def _mark_lapsed(self):
        """Note that others may have taken over what goes with the lease.

        A watch that hangs would not tell of it, so all is read anew from the
        store's next answer on, which is the one to the new lease at latest.
        """
        if self._lease:
            self.lapsed_at = asyncio.get_running_loop().time()
            self._store.note_failure()
        self._lease = self._session.lease = 0

    async def _keep(self):
        was_in_touch = None
        while True:
            self._rewrite.clear()
            wait_s = RENEW_S
            try:
                await self._renew()
                self._note_answer(asyncio.get_running_loop().time())
                self._has_failed = False
            except exceptions.AnvilwellError as error:
                wait_s = RETRY_S
                self._has_failed = True
                _LOG.log("lease-not-renewed", cause=error.message)
            if self.is_in_touch() != was_in_touch:
                was_in_touch = self.is_in_touch()
                _LOG.log("store-in-touch", is_in_touch=was_in_touch)
            try:
                async with asyncio.timeout(wait_s):
                    await self._rewrite.wait()
            except TimeoutError:
                pass

    def _note_answer(self, now):
        if self._has_answered and now - self._answered_at >= LONG_OUTAGE_S:
            self._regained_at = now
        self._has_answered = True
        self._answered_at = now

    async def _renew(self):
        clock = asyncio.get_running_loop().time
        sent_at = clock()
        if self._lease and await self._store.keep_alive(self._lease):
            self._session.renewed(self._lease, sent_at, TTL_S)
            return
        self._mark_lapsed()
        if not self._pending_lease:
            if self._has_failed:
                # A tenth of a grant's price, while the store is away.
                await self._store.ping()
            self._pending_since = clock()
            self._pending_lease = await self._store.grant(TTL_S)
        key = f"{live_keys.PREFIX}{self.vm_id}"
        entry = await self._store.get(key)
        if entry is None or entry.lease != self._pending_lease:
            await self._write(key, entry.revision if entry else 0)
        # Both the write that landed and one whose answer was lost.
        self._lease = self._pending_lease
        self._session.granted(self._lease, self._pending_since)
        self._pending_lease = 0
        _LOG.log("registered", lease=self._lease)

    async def _write(self, key, revision):
        live = live_keys.LiveKeyValue(
            self.incarnation,
            self._peers,
            self._failure_domain,
            self._capacity,
            self._link_mbps,
        )
        value = cbor2.dumps(live)
        swap = keyvalue.Swap(key, revision, value, self._pending_lease)
        try:
            result = await self._store.swap([swap])
        except exceptions.NotFound:
            self._pending_lease = 0
            raise
        if not result.landed:
            raise exceptions.KeyValueUnavailable("the live key has changed")
