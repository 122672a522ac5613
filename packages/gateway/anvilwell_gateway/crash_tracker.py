"""Tells entries which requests end replicas.

A request comes by any entry, so what one has seen must be known to all:
then it is refused after the second end, wherever it comes.
Each entry writes to the store which requests a replica cut as it ended; a
write for each replica that ends at work, and none while all is well. It
tells the other entries directly as well: the store may be away just then.
"""

import asyncio
import contextlib
import hashlib

import cbor2
import pydantic

from anvilwell_decisions.requests import quarantine as quarantines
from anvilwell_gateway import crash_notifier
from anvilwell_gateway import crash_sync
from anvilwell_gateway.http import client
from anvilwell_gateway import measures
from anvilwell_gateway import news
from anvilwell_gateway import tasks
from anvilwell_gateway import trials
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs
from anvilwell_outside.ports import keyvalue

PREFIX = f"{news.PREFIX}crashes/"
# Other entries tell and ask under these targets.
TARGETS = frozenset((crash_notifier.TARGET, crash_sync.TARGET, trials.TARGET))
# A replica whose process has ended refuses a connection within a round
# trip, a millisecond or two. A VM that is silent tells nothing in time.
CRASH_CHECK_WAIT_S = 0.1
# A refusal that is later still counts: this VM or the replica's may be busy.
CRASH_CHECK_TIMEOUT_S = 2.0
# Ends that come together share a write: a rack's replicas end at once.
WRITE_DELAY_S = 0.05
# Replicas' ends in one write; the store takes 32 keys.
MAX_KEYS_PER_WRITE = 32
# Between tries of a write that failed, as for reads of the store.
WRITE_RETRY_S = 1.0


_CRASH = pydantic.TypeAdapter(crash_notifier.Crash)

_LOG = logs.get_logger(__name__)


class CrashTracker:
    """Knows which requests end replicas, here and at other entries.

    Parameters
    ----------
    store : store.AsyncStore
        Where ends are told.
    directory : directory.Directory
        Says which replicas are gone.
    vm_id : str
        This VM.
    peers : news.News
        The other entries, which are told and asked directly.
    """

    def __init__(self, store, directory, vm_id, peers):
        self._store = store
        self._directory = directory
        self._vm_id = vm_id
        self._loop = asyncio.get_running_loop()
        self._quarantine = quarantines.Quarantine()
        self._notifier = crash_notifier.CrashNotifier(vm_id, peers)
        self._crash_sync = crash_sync.CrashSync(
            vm_id, peers, self._learn_known
        )
        self._trials = trials.Trials(vm_id, peers, self._quarantine)
        self._unwritten_by_replica = {}
        self._written_by_replica = {}
        self._revisions_by_key = {}
        self._writer_task = None
        self._checks = set()
        self._lease = 0
        self._lease_until = float("-inf")
        directory.listen(self._replicas_changed)

    async def stop(self):
        """Tell no more."""
        await self._notifier.stop()
        await self._crash_sync.stop()
        await self._trials.stop()
        await tasks.stop(self._writer_task, *self._checks)

    def entries_changed(self):
        """Tell and ask the entries that were heard of since."""
        self._notifier.entries_changed()
        self._crash_sync.entries_changed()

    def gauge_values(self):
        """Return how many requests are held back."""
        held_back = self._quarantine.held_back_count(self._loop.time())
        return [measures.GaugeValue("requests_held_back", held_back)]

    @property
    def is_empty(self):
        """Whether no request is known to have ended a replica lately."""
        return self._quarantine.is_empty

    def wait_s(self, fingerprint):
        """Return how long a request is held back, in seconds; 0 if not."""
        return self._quarantine.wait_s(fingerprint, self._loop.time())

    @contextlib.asynccontextmanager
    async def trial(self, fingerprint):
        """Give how long a request must wait, in seconds; 0 if not.

        One that has ended replicas is tried once at a time at all entries.
        """
        if self._quarantine.needs_trial(fingerprint, self._loop.time()):
            async with self._trials.trial(fingerprint) as wait_s:
                yield wait_s
        else:
            yield self.wait_s(fingerprint)

    def is_item_held_back(self, fingerprint):
        """Return whether an item is held back, once its ends prove it.

        There are many engines, and five seconds cost an item its step.
        """
        wait_s = self._quarantine.wait_s(
            fingerprint, self._loop.time(), quarantines.PROVEN_CRASHES
        )
        return wait_s > 0

    def is_suspect(self, fingerprint):
        """Return whether a replica has ended under a request."""
        return self._quarantine.crash_count(fingerprint) > 0

    def answered(self, fingerprint):
        """Note that a replica answered a request whole."""
        self._quarantine.clear(fingerprint)

    async def note_cut(self, fingerprint, replica):
        """Note that `replica` cut an answer; find out whether it ended.

        The result is known within `CRASH_CHECK_WAIT_S`, except
        for a replica that refuses connections only later.
        """
        replica_id = replica.replica_id
        now = self._loop.time()
        if self._quarantine.record_cut(fingerprint, replica_id, now):
            self._report_crash(replica_id, {fingerprint})
        elif not self._directory.is_present(replica_id):
            self._record_crash(replica_id)
        else:
            check = asyncio.create_task(self._check(replica))
            self._checks.add(check)
            check.add_done_callback(self._checks.discard)
            await asyncio.wait({check}, timeout=CRASH_CHECK_WAIT_S)

    async def _check(self, replica):
        """Find out whether a replica has ended."""
        if await _refuses_connections(replica.address):
            self._record_crash(replica.replica_id)

    def load(self, entries_by_key):
        """Take in all ends that were told."""
        for key, entry in entries_by_key.items():
            self._read_record(key, entry.value)

    def change(self, change):
        """Take in the ends that one entry tells.

        One that is removed has lapsed, or its lease was lost with a VM:
        what was learned holds for its own time.
        """
        if change.value is not None:
            self._read_record(change.key, change.value)

    def _read_record(self, key, value):
        try:
            crash = _CRASH.validate_python(cbor2.loads(value))
        except (cbor2.CBORError, ValueError) as error:
            counters.count_unreadable("crash")
            _LOG.log("crash-unreadable", key=key, cause=repr(error))
            return
        self._learn(crash)

    async def answer(self, request, responder):
        """Answer what another entry tells or asks directly."""
        if request.path == trials.TARGET:
            wait_s = self._trials.decide(trials.read(request.body))
            await responder.send(200, (), cbor2.dumps(wait_s))
            return
        if request.path == crash_sync.TARGET:
            known = self._quarantine.known_crashes(self._loop.time())
            most = known[: crash_sync.MAX_REQUESTS]
            await responder.send(200, (), cbor2.dumps(most))
            return
        for crash in crash_notifier.read(request.body):
            self._learn(crash)
        await responder.send(200)

    def _learn_known(self, known):
        """Take in what another entry knew before this one started."""
        self._quarantine.add_crashes(
            known.fingerprint,
            known.replica_ids,
            self._loop.time() - known.age_s,
        )

    def _learn(self, crash):
        now = self._loop.time()
        for fingerprint in crash.fingerprints:
            self._quarantine.add_crashes(fingerprint, [crash.replica_id], now)

    def _replicas_changed(self, changed):
        if not changed.is_membership:
            return
        watched = self._quarantine.cut_replica_ids
        for replica_id in watched.intersection(changed.replica_ids):
            if not self._directory.is_present(replica_id):
                self._record_crash(replica_id)

    def _record_crash(self, replica_id):
        found = self._quarantine.record_crash(replica_id, self._loop.time())
        self._report_crash(replica_id, found)

    def _report_crash(self, replica_id, fingerprints):
        """Log and tell that a replica ended under requests."""
        if not fingerprints:
            return
        counts = {
            one: self._quarantine.crash_count(one) for one in fingerprints
        }
        _LOG.log(
            "replica-ended",
            replica=replica_id,
            requests=len(counts),
            ends_by_suspect={
                one: count for one, count in counts.items() if count > 1
            },
        )
        self._notifier.notify(
            crash_notifier.Crash(replica_id, tuple(sorted(fingerprints)))
        )
        self._unwritten_by_replica.setdefault(replica_id, set()).update(
            fingerprints
        )
        if self._writer_task is None or self._writer_task.done():
            self._writer_task = asyncio.create_task(self._write_all())

    async def _write_all(self):
        """Write what other entries are to know until it is all written."""
        while self._unwritten_by_replica:
            await asyncio.sleep(WRITE_DELAY_S)
            replica_ids = list(self._unwritten_by_replica)[:MAX_KEYS_PER_WRITE]
            try:
                await self._write(replica_ids)
            except exceptions.AnvilwellError as error:
                _LOG.log("ends-not-told", cause=error.message)
                await asyncio.sleep(WRITE_RETRY_S)

    async def _write(self, replica_ids):
        """Write what is untold of replicas, each under a key of our own.

        A write that landed without an answer is found by the next one.
        """
        written_by_replica = {
            replica_id: self._written_by_replica.get(replica_id, frozenset())
            | self._unwritten_by_replica[replica_id]
            for replica_id in replica_ids
        }
        lease = await self._ensure_lease()
        swaps = []
        for replica_id, fingerprints in written_by_replica.items():
            key = own_key(replica_id, self._vm_id)
            value = cbor2.dumps((replica_id, tuple(sorted(fingerprints))))
            revision = self._revisions_by_key.get(key, 0)
            swaps.append(keyvalue.Swap(key, revision, value, lease))
        try:
            result = await self._store.swap(swaps)
        except exceptions.NotFound:
            self._lease_until = float("-inf")
            raise
        self._revisions_by_key |= {
            swap.key: _revision(result, swap.key) for swap in swaps
        }
        if not result.landed:
            raise exceptions.Conflict("an end was told before")
        self._record_written(written_by_replica)

    def _record_written(self, written_by_replica):
        self._written_by_replica |= written_by_replica
        for replica_id, written in written_by_replica.items():
            if written.issuperset(self._unwritten_by_replica[replica_id]):
                del self._unwritten_by_replica[replica_id]

    async def _ensure_lease(self):
        """Return a lease that lasts; nobody renews it."""
        now = self._loop.time()
        if now > self._lease_until:
            self._lease = await self._store.grant(quarantines.LONG_PAUSE_S)
            # A key that is written once more after this is read first.
            self._written_by_replica = {}
            self._revisions_by_key = {}
            self._lease_until = now + quarantines.LONG_PAUSE_S / 2
        return self._lease


def own_key(replica_id, vm_id):
    """Return the key under which a VM tells of a replica's end.

    Keys are short, ids need not be.
    """
    name = cbor2.dumps((replica_id, vm_id))
    return PREFIX + hashlib.blake2b(name, digest_size=16).hexdigest()


def _revision(result, key):
    """Return the revision of a key after a `keyvalue.SwapResult`."""
    if result.landed:
        return result.revision
    entry = result.entries_by_key.get(key)
    return entry.revision if entry else 0


async def _refuses_connections(address):
    """Return whether nothing listens at a replica's address any more."""
    try:
        connection = await client.Connection.open(
            address, CRASH_CHECK_TIMEOUT_S
        )
    except exceptions.BackendFailed as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    connection.close()
    return False
