"""The lease of this process and its live key in the store."""

import asyncio
import contextlib
import uuid

from anvilwell_decisions.leases import session as sessions
import cbor2

from anvilwell_gateway import freshness
from anvilwell_gateway import live_keys
from anvilwell_gateway import measures
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs
from anvilwell_outside.ports import keyvalue

# Lifetime of the lease, in seconds. Other processes take over this long after
# a crash. Five attempts to renew fit in it, so that a lease seldom lapses
# while answers are lost.
TTL_S = 3.5
RENEW_S = 0.7
# Wait after a failed renewal, in seconds.
RETRY_S = 0.1
# After this time without an answer, the store counts as unavailable, in
# seconds.
OUT_OF_TOUCH_S = 1.5
# After this time without an answer from the store, an entry no longer confirms
# what it has cached, in seconds. With the interval of 0.2 s at which requests
# check that, and a read of the store by the requester itself, a change still
# takes effect within two seconds.
MAX_ANSWER_AGE_S = 1.2
# The store counts as answering this process if its last answer is younger than
# this, in seconds. An entry that can no longer confirm its cache has had no
# answer for `MAX_ANSWER_AGE_S`. All processes renew every `RENEW_S`, so the
# store has answered this process since that entry's last answer.
RECENT_ANSWER_S = MAX_ANSWER_AGE_S - RENEW_S

_LOG = logs.get_logger(__name__)
# After an outage of this length, in seconds, the leases of running processes
# may have lapsed.
LONG_OUTAGE_S = TTL_S - RENEW_S
# After an outage, all processes are back in contact with the store within this
# time of each other, in seconds. A call that hangs takes up to a second, and
# so does a probe of the direct path.
REREGISTRATION_S = 1.0


class Presence:
    """Keeps this process's live key in the store, under a lease.

    Parameters
    ----------
    store : store.AsyncStore
        Where the key is written.
    vm_id : str
        This VM.
    failure_domain : str
        This VM's failure domain.
    capacity : float
        Its processing capacity, in cores.
    link_mbps : float
        The bandwidth of its link, in Mbit/s; 0 if unknown.
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
        self._asking_task = None
        self._has_ended = False
        self._lease = 0
        self._pending_lease = 0
        self._pending_since = 0.0
        self._session = sessions.Session(TTL_S)
        self._answered_at = float("-inf")
        self._attempted_at = float("-inf")
        # Whether the store has ever answered, and when it did so after an
        # outage.
        self._has_answered = False
        self._regained_at = float("-inf")
        # Up to this time, others may have taken over what this process held.
        self.lapsed_at = float("-inf")
        self._rewrite = asyncio.Event()
        self._has_failed = False
        self._peers = ""
        self.vm_id = vm_id
        self.incarnation = uuid.uuid4().hex

    def start(self, peers):
        """Start registering and renewing; `peers` is the address for peers."""
        self._peers = str(peers)
        self._task = asyncio.create_task(self._keep())

    async def drain(self):
        """End the lease, but keep asking whether the store answers.

        Callers are answered until the process ends, and what it knows must
        not grow old meanwhile.
        """
        await self.stop()
        self._asking_task = asyncio.create_task(self._keep_asking())

    async def stop(self):
        """End the lease, so that others take over at once."""
        asking_task, self._asking_task = self._asking_task, None
        await tasks.stop(asking_task)
        task, self._task = self._task, None
        if task is None:
            return
        await tasks.stop(task)
        # From here on, others may own what the lease protects.
        self._session.lease = 0
        self._has_ended = True
        if self._lease:
            try:
                await self._store.revoke(self._lease)
            except exceptions.AnvilwellError as error:
                _LOG.log("lease-not-ended", cause=error.message)

    @property
    def session(self):
        """The session that limits how long the lease may be acted on."""
        return self._session

    @property
    def is_registered(self):
        """Whether the live key was written and is not known to be lost."""
        return self._lease != 0

    def is_in_touch(self):
        """Return whether the store answered recently."""
        return self.answer_age_s() < OUT_OF_TOUCH_S

    def has_answered_recently(self):
        """Return whether the store answers this process after an outage.

        If so, an entry without an answer is itself cut off, as the store
        works.
        """
        return self.answer_age_s() < RECENT_ANSWER_S

    def can_confirm_ownership(self):
        """Return whether the store answered so recently that cached data hold.

        Otherwise this process may not answer from memory who owns what.
        """
        return self.answer_age_s() < MAX_ANSWER_AGE_S

    def answer_age_s(self):
        """Return the time since the store's last answer, in seconds."""
        return asyncio.get_running_loop().time() - self._answered_at

    def silence_s(self):
        """Return how long the store has been silent, in seconds.

        Renewals show that until the lease is ended, and the answers to all
        calls afterwards.
        """
        if not self._has_ended:
            return self.answer_age_s()
        silent_since = max(self._answered_at, self._store.answered_at)
        return asyncio.get_running_loop().time() - silent_since

    def gauge_values(self):
        """Return whether this process is registered and the store answers."""
        return [
            measures.GaugeValue("registered", self.is_registered),
            measures.GaugeValue("store_in_touch", self.is_in_touch()),
        ]

    def renew_soon(self):
        """Renew the lease at once if that is overdue, after an outage."""
        if self.answer_age_s() > RENEW_S:
            self._rewrite.set()

    def renew_now(self):
        """Renew the lease at once, to see whether the store answers.

        A process that drains makes the cheapest call instead.

        It has no effect within `RETRY_S` of the last attempt: during an outage
        many callers ask for it again and again.
        """
        now = asyncio.get_running_loop().time()
        if now - self._attempted_at >= RETRY_S:
            self._rewrite.set()

    def contact(self):
        """Return the `freshness.StoreContact` of this process."""
        return freshness.StoreContact(
            lambda: self._store.answered_at, self.renew_now, RENEW_S
        )

    def takeover_grace_s(self):
        """Return how long to wait for others to register again, in seconds.

        After an outage that let leases lapse, each process registers again
        once the store answers it. Until then it can't be told from one that
        has stopped, so nothing should be taken over from it.
        """
        if not self._has_answered:
            return 0.0
        if self.answer_age_s() >= LONG_OUTAGE_S:
            return REREGISTRATION_S
        now = asyncio.get_running_loop().time()
        return max(0.0, self._regained_at + REREGISTRATION_S - now)

    def key_lost(self):
        """Handle that the live key is gone: write it again."""
        self._mark_lapsed()
        self._rewrite.set()

    def _mark_lapsed(self):
        """Record that others may have taken over what the lease protects.

        A watch that hangs would not show that, so the next answer of the
        store, at the latest the one that grants the new lease, makes all
        followers read everything again.
        """
        if self._lease:
            self.lapsed_at = asyncio.get_running_loop().time()
            self._store.note_failure()
        self._lease = self._session.lease = 0

    async def _keep(self):
        was_in_touch = None
        while True:
            self._rewrite.clear()
            self._attempted_at = asyncio.get_running_loop().time()
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
            await self._wait_for_request(wait_s)

    async def _wait_for_request(self, wait_s):
        """Wait up to `wait_s` seconds until the next call is requested."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._rewrite.wait()

    async def _keep_asking(self):
        """Ask whether the store answers, without a lease, until cancelled."""
        wait_s = RENEW_S
        self._rewrite.clear()
        while True:
            await self._wait_for_request(wait_s)
            self._rewrite.clear()
            self._attempted_at = asyncio.get_running_loop().time()
            try:
                await self._store.ping()
                self._note_answer(asyncio.get_running_loop().time())
                wait_s = RENEW_S
            except exceptions.AnvilwellError as error:
                wait_s = RETRY_S
                _LOG.log("store-not-asked", cause=error.message)

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
                # While the store is unavailable, a ping costs a tenth of a
                # grant.
                await self._store.ping()
            self._pending_since = clock()
            self._pending_lease = await self._store.grant(TTL_S)
        key = f"{live_keys.PREFIX}{self.vm_id}"
        entry = await self._store.get(key)
        if entry is None or entry.lease != self._pending_lease:
            await self._write(key, entry.revision if entry else 0)
        # Reached after a successful write and after one whose answer was lost.
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
            raise exceptions.KeyValueUnavailable(
                "the live key was changed meanwhile"
            )
