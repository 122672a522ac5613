"""Finds the neighbouring entry that serves the store's changes."""

import asyncio
import typing

from anvilwell_decisions.duties import rendezvous
from anvilwell_gateway import feeds
from anvilwell_gateway.http import connection_pool
from anvilwell_gateway import peer_calls
from anvilwell_gateway import store as stores
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs
from anvilwell_outside.ports import keyvalue

# How long an entry that has lost contact with the store may take to regain it
# after the store answered this process, in seconds; only then is the entry
# skipped. After an outage all processes regain contact at almost the same
# time; without the grace period, those that do so before their neighbour would
# each read all keys.
RECONNECT_GRACE_S = 0.12
# A lost contact that was first seen longer ago than this, in seconds, belongs
# to an earlier outage.
NEW_OUTAGE_S = 2.0
# Added to a request's wait for some round trips and the pauses of a busy VM,
# in seconds.
MARGIN_S = 0.5
# How long a neighbour that failed to answer is not asked again, in seconds;
# the store is asked meanwhile. If the neighbour is gone, its live key has
# lapsed by the end of this time.
BACKOFF_S = 5.0
# How long a starting process waits for entries that start at the same time to
# register, in seconds. A watch that begins sooner would go to the store and
# cost one more call.
SETTLE_S = 1.0
# Longest wait of a starting process for the first list of entries, in seconds.
FIRST_NEIGHBOUR_TIMEOUT_S = 3.0
# Upper limit on the wait for the result of a query, whatever happens to its
# request, in seconds.
ANSWER_TIMEOUT_S = feeds.WAIT_S + 2 * MARGIN_S
# Queries made within this time share one request, in seconds.
COALESCE_S = 0.01
MAX_ANSWER_BYTES = 32 << 20
_DUTY = "watch the store"

_LOG = logs.get_logger(__name__)


class Candidate(typing.NamedTuple):
    """An entry that may serve changes of the store to others."""

    address: typing.Any
    failure_domain: str


class _PendingQuery(typing.NamedTuple):
    """A prefix to include in the next request, and its future result."""

    revision: int | None
    result: asyncio.Future


class Neighbour:
    """An entry as the source of the store's changes.

    Queries made at about the same time share one request, so that a process
    that follows six prefixes sends as many requests as one that follows a
    single prefix.

    Parameters
    ----------
    vm_id : str
        The entry's VM.
    address : options.Address
        Where it serves its peers.
    pool : connection_pool.Pool
        Connections to peers.
    engine : str
        Address of the engine beside this process, if there is one.
    """

    def __init__(self, vm_id, address, pool, engine):
        self.vm_id = vm_id
        self.address = address
        self._pool = pool
        self._engine = engine
        self._pending_by_prefix = {}
        self._send_tasks = set()

    async def get_prefix(self, prefix):
        """Return the neighbour's `keyvalue.Snapshot` of `prefix`."""
        update = await self._ask(prefix, None)
        self._check_current(update, prefix)
        if update.outcome is not feeds.FeedStatus.DATA:
            raise feeds.FeedUnavailable(
                f"{self.vm_id} can't provide all entries: {update.outcome}"
            )
        entries_by_key = {entry.key: entry for entry in update.entries}
        return keyvalue.Snapshot(entries_by_key, update.revision, update.age_s)

    async def watch(self, prefix, revision):
        """Return the `stores.Changes` after `revision`, possibly none."""
        update = await self._ask(prefix, revision)
        self._check_current(update, prefix)
        if update.outcome is feeds.FeedStatus.FORGOTTEN:
            raise stores.HistoryGone(
                f"{self.vm_id} no longer keeps these changes"
            )
        if update.outcome is feeds.FeedStatus.NOT_WATCHED:
            raise feeds.FeedUnavailable(
                f"{self.vm_id} does not watch {prefix}"
            )
        return stores.Changes(update.changes, update.revision, update.age_s)

    def _check_current(self, update, prefix):
        if update.outcome is feeds.FeedStatus.OUTDATED:
            raise feeds.FeedDisconnected(
                f"{self.vm_id} may lack changes of {prefix}"
            )

    async def _ask(self, prefix, revision):
        """Return the `feeds.FeedUpdate` of one prefix."""
        result = asyncio.get_running_loop().create_future()
        if not self._pending_by_prefix:
            task = asyncio.create_task(self._send())
            self._send_tasks.add(task)
            task.add_done_callback(self._send_tasks.discard)
        self._pending_by_prefix[prefix] = _PendingQuery(revision, result)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await result
        except TimeoutError:
            raise feeds.FeedUnavailable("no answer to the request") from None

    async def _send(self):
        """Send all queries that are pending by now in one request."""
        await asyncio.sleep(COALESCE_S)
        pending_by_prefix, self._pending_by_prefix = (
            self._pending_by_prefix,
            {},
        )
        try:
            updates_by_prefix = await self._query(pending_by_prefix)
        except feeds.FeedUnavailable as error:
            for pending in pending_by_prefix.values():
                if not pending.result.done():
                    pending.result.set_exception(error)
            return
        for prefix, pending in pending_by_prefix.items():
            if not pending.result.done():
                pending.result.set_result(updates_by_prefix[prefix])

    async def _query(self, pending_by_prefix):
        """Send one request; return its updates_by_prefix."""
        revisions = {p: one.revision for p, one in pending_by_prefix.items()}
        request = peer_calls.build_request(
            feeds.TARGET,
            self.address,
            feeds.ChangesRequest(revisions, self._engine),
        )
        try:
            reply, body = await self._pool.call(
                self.vm_id,
                self.address,
                request,
                feeds.WAIT_S + MARGIN_S,
                MAX_ANSWER_BYTES,
            )
        except exceptions.BackendFailed as error:
            raise feeds.FeedUnavailable(error.message) from error
        updates_by_prefix = feeds.read_response(reply.status, body)
        if revisions.keys() - updates_by_prefix.keys():
            raise feeds.FeedUnavailable(
                f"{self.vm_id} did not answer for all prefixes"
            )
        return updates_by_prefix


class Neighbours:
    """Chooses the entry to ask for a prefix's changes.

    Parameters
    ----------
    vm_id : str
        This VM.
    failure_domain : str
        This VM's failure domain; its entries are preferred.
    has_answered_recently : callable
        Returns whether the store answered this process later than it can have
        answered an entry that reports lost contact. If not, the store is
        unavailable to both, and this process keeps asking that entry.
    engine : str, optional
        Address of the engine beside this process. An entry that receives it
        concludes that the engine's agent is running.
    check_store : callable, optional
        Called if an entry has lost contact, and it is not known whether the
        store answers this process.
    """

    def __init__(
        self,
        vm_id,
        failure_domain,
        has_answered_recently,
        engine="",
        check_store=None,
    ):
        self._check_store = check_store or _ignore
        self._vm_id = vm_id
        self._failure_domain = failure_domain
        self._has_answered_recently = has_answered_recently
        self._engine = engine
        self._clock = asyncio.get_running_loop().time
        self._pool = connection_pool.Pool(self._clock, use_keepalive=True)
        self._entries_by_vm = {}
        self._neighbours_by_vm = {}
        self._skipped_until_by_vm = {}
        self._disconnected_since = float("-inf")
        self._entries_received = asyncio.Event()
        self._has_entries = asyncio.Event()

    def set_entries(self, entries_by_vm):
        """Set the registered entries, each as a `Candidate`."""
        self._entries_by_vm = entries_by_vm
        self._neighbours_by_vm = {
            vm_id: self._reuse_or_create(vm_id, entries_by_vm[vm_id].address)
            for vm_id in self._candidates(self._failure_domain)
        }
        self._entries_received.set()
        if entries_by_vm:
            self._has_entries.set()

    def _candidates(self, failure_domain):
        """Return the entries that may serve changes to a failure domain.

        These are the domain's own entries, or all entries if it has none.
        """
        near = [
            vm_id
            for vm_id, entry in self._entries_by_vm.items()
            if entry.failure_domain == failure_domain
        ]
        return near or list(self._entries_by_vm)

    def has_duty(self, failure_domain):
        """Return whether this VM serves changes to a failure domain."""
        candidates = self._candidates(failure_domain)
        return rendezvous.choose_vm(_DUTY, candidates) == self._vm_id

    def ranked(self):
        """Return all entries in the order in which to ask them for changes.

        The entries that serve this VM's failure domain come first. The first
        one is asked for changes; the others would replace it in this order.
        """
        near = rendezvous.rank_vms(
            _DUTY, self._candidates(self._failure_domain)
        )
        return [*near, *sorted(set(self._entries_by_vm).difference(near))]

    def _reuse_or_create(self, vm_id, address):
        """Return the `Neighbour` of a VM, a new one if its address is new."""
        known = self._neighbours_by_vm.get(vm_id)
        if known and known.address == address:
            return known
        return Neighbour(vm_id, address, self._pool, self._engine)

    async def settle(self):
        """Wait until entries that start with this process have registered."""
        try:
            async with asyncio.timeout(FIRST_NEIGHBOUR_TIMEOUT_S):
                await self._entries_received.wait()
        except TimeoutError:
            return
        await asyncio.sleep(SETTLE_S)

    async def wait_for_entry(self, limit_s):
        """Wait up to `limit_s` seconds until an entry is registered."""
        try:
            async with asyncio.timeout(limit_s):
                await self._has_entries.wait()
        except TimeoutError:
            _LOG.log("no-entry-known", waited_s=limit_s)

    def find(self):
        """Return the `Neighbour` to ask, or None to ask the store itself."""
        candidates = self._candidates(self._failure_domain)
        chosen = rendezvous.choose_vm(_DUTY, candidates)
        skipped_until = self._skipped_until_by_vm.get(chosen, 0.0)
        if chosen in (None, self._vm_id) or self._clock() < skipped_until:
            return None
        return self._neighbours_by_vm[chosen]

    def failed(self, neighbour, error):
        """Record that a neighbour did not answer.

        Returns whether it is skipped from now on. Otherwise it should be asked
        again.
        """
        now = self._clock()
        if now < self._skipped_until_by_vm.get(neighbour.vm_id, 0.0):
            return True
        if isinstance(error, feeds.FeedDisconnected) and self._may_reconnect(
            now
        ):
            return False
        until = now + BACKOFF_S
        self._skipped_until_by_vm[neighbour.vm_id] = until
        _LOG.log(
            "neighbour-doubted", neighbour=neighbour.vm_id, cause=error.message
        )
        return True

    def _may_reconnect(self, now):
        """Return whether to keep asking an entry that lost the store."""
        if not self._has_answered_recently():
            self._disconnected_since = float("-inf")
            self._check_store()
            return True
        if now - self._disconnected_since > NEW_OUTAGE_S:
            self._disconnected_since = now
        return now - self._disconnected_since < RECONNECT_GRACE_S

    def close(self):
        """Close the connections."""
        self._pool.close()


def _ignore():
    """Do nothing; the default of ``check_store``."""
