"""Tracks which live requests crash replicas, and tells other entries.

Only requests of live callers are tracked. The items of batches and their
scoring calls are accepted work that must be done: replicas that crash while
they run one don't hold it back.

A request may arrive at any entry, so each crash that one entry observes is
shared with all: every entry then refuses the request after its second crash.
When a replica crashes while it works, each entry writes to the store which of
its requests the replica cut, in one write for each replica. It also notifies
the other entries directly, as the store may be unreachable at that time.

A request that a replica answers in full is cleared of the crashes before.
This is shared in both ways too; otherwise an entry that starts would count
the crashes in the store and refuse the request.
"""

import asyncio
import contextlib
import hashlib
import typing

import cbor2
import pydantic

from anvilwell_decisions.requests import quarantine as quarantines
from anvilwell_gateway import cluster_state
from anvilwell_gateway import crash_notifier
from anvilwell_gateway import crash_sync
from anvilwell_gateway.http import client
from anvilwell_gateway import measures
from anvilwell_gateway import tasks
from anvilwell_gateway import trials
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs
from anvilwell_outside.ports import keyvalue

PREFIX = f"{cluster_state.PREFIX}crashes/"
# Targets of requests from other entries that a tracker answers.
TARGETS = frozenset((crash_notifier.TARGET, crash_sync.TARGET, trials.TARGET))
# How long an attempt waits for the check whether its replica crashed, in
# seconds. The address of a crashed process refuses a connection within a
# round trip, a millisecond or two; a VM that went silent gives no result in
# time.
CRASH_CHECK_WAIT_S = 0.1
# How long the check itself goes on, in seconds. A refusal that comes late
# still counts as a crash, as this VM or that of the replica may be busy.
CRASH_CHECK_TIMEOUT_S = 2.0
# How long crashes are gathered for one write, in seconds: the replicas of a
# rack crash together.
WRITE_DELAY_S = 0.05
# Limit of the keys in one write, one for each crashed replica. The store
# accepts 32.
MAX_KEYS_PER_WRITE = 32
# Delay before a failed write is repeated, in seconds, the same as for reads
# of the store.
WRITE_RETRY_S = 1.0


_CRASH = pydantic.TypeAdapter(crash_notifier.Crash)

_LOG = logs.get_logger(__name__)


class _Findings(typing.NamedTuple):
    """What this VM observed of one replica's crash.

    Fingerprints of the requests that the crash cut, and of those that it no
    longer counts against.
    """

    fingerprints: frozenset = frozenset()
    cleared: frozenset = frozenset()

    @classmethod
    def of_crash(cls, crash):
        """Return the findings in a `crash_notifier.Crash`."""
        return cls(frozenset(crash.fingerprints), frozenset(crash.cleared))

    def union(self, other):
        """Return these findings and those of `other`."""
        return _Findings(
            self.fingerprints | other.fingerprints,
            self.cleared | other.cleared,
        )


_NO_FINDINGS = _Findings()


class _Written(typing.NamedTuple):
    """The findings in a key of this VM, its revision, and when it was written.

    The revision is 0 if the key does not exist.
    """

    findings: _Findings
    revision: int
    at: float


class CrashTracker:
    """Records which requests crash replicas, here and at other entries.

    Parameters
    ----------
    store : store.AsyncStore
        The store that crashes are written to.
    directory : directory.Directory
        Reports replicas that are no longer present.
    vm_id : str
        The id of this VM.
    peers : cluster_state.ClusterState
        The other entries, which are notified and queried directly.
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
        self._writer_task = None
        self._checks = set()
        self._lease = 0
        self._lease_until = float("-inf")
        directory.listen(self._replicas_changed)

    async def stop(self):
        """Cancel the checks, writes and calls in progress."""
        await self._notifier.stop()
        await self._crash_sync.stop()
        await self._trials.stop()
        await tasks.stop(self._writer_task, *self._checks)

    def entries_changed(self):
        """Notify and query new entries; called when the live ones change."""
        self._notifier.entries_changed()
        self._crash_sync.entries_changed()

    def gauge_values(self):
        """Return the number of held-back requests as a gauge value."""
        held_back = self._quarantine.held_back_count(self._loop.time())
        return [measures.GaugeValue("requests_held_back", held_back)]

    @property
    def is_empty(self):
        """Whether no crash under any request was recorded lately."""
        return self._quarantine.is_empty

    def wait_s(self, fingerprint):
        """Return how long a request is held back, in seconds; 0 if not."""
        return self._quarantine.wait_s(fingerprint, self._loop.time())

    @contextlib.asynccontextmanager
    async def trial(self, fingerprint):
        """Yield how long a request must wait, in seconds, 0 to try it now.

        A request that has crashed replicas is tried by one entry at a time.
        """
        if self._quarantine.needs_trial(fingerprint, self._loop.time()):
            async with self._trials.trial(fingerprint) as wait_s:
                yield wait_s
        else:
            yield self.wait_s(fingerprint)

    def is_suspect(self, fingerprint):
        """Return whether a replica has crashed under a request."""
        return self._quarantine.crash_count(fingerprint) > 0

    def answered(self, fingerprint):
        """Clear the crashes of a request that a replica answered in full."""
        cleared_ids = self._quarantine.replica_ids(fingerprint)
        if not cleared_ids:
            return
        self._quarantine.clear(fingerprint, cleared_ids, self._loop.time())
        _LOG.log(
            "request-cleared",
            fingerprint=fingerprint,
            replicas=sorted(cleared_ids),
        )
        for replica_id in sorted(cleared_ids):
            self._report(crash_notifier.Crash(replica_id, (), (fingerprint,)))

    async def note_cut(self, fingerprint, replica):
        """Record that `replica` cut a response; check whether it crashed.

        Returns once the result is known, after `CRASH_CHECK_WAIT_S` at the
        latest. A replica whose address refuses connections only after that
        is still recorded as crashed.
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
        """Record a crash if the replica's address refuses connections."""
        if await _refuses_connections(replica.address):
            self._record_crash(replica.replica_id)

    def load(self, entries_by_key):
        """Read all crashes that entries have written to the store."""
        for key, entry in entries_by_key.items():
            self._read_record(key, entry.value)

    def change(self, change):
        """Read a crash that an entry has written to the store.

        The removal of a key is ignored: its lease ended, by time or with a
        VM, and the quarantine keeps crashes for its own time.
        """
        if change.value is not None:
            self._read_record(change.key, change.value)

    def _read_record(self, key, value):
        """Decode the crash in a store value, and add it to the quarantine."""
        try:
            crash = _CRASH.validate_python(cbor2.loads(value))
        except (cbor2.CBORError, ValueError) as error:
            counters.count_unreadable("crash")
            _LOG.log("crash-unreadable", key=key, cause=repr(error))
            return
        self._learn(crash)

    async def answer(self, request, responder):
        """Answer a notification or query of another entry."""
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
        """Add crashes that other entries recorded before this one started."""
        self._quarantine.add_crashes(
            known.fingerprint,
            known.replica_ids,
            self._loop.time() - known.age_s,
        )

    def _learn(self, crash):
        now = self._loop.time()
        for fingerprint in crash.cleared:
            self._quarantine.clear(fingerprint, [crash.replica_id], now)
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
        """Log a crash under requests, and report it to the other entries."""
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
        self._report(
            crash_notifier.Crash(replica_id, tuple(sorted(fingerprints)))
        )

    def _report(self, crash):
        """Notify other entries of a `crash_notifier.Crash`, and write it."""
        self._notifier.notify(crash)
        unwritten = self._unwritten_by_replica.get(
            crash.replica_id, _NO_FINDINGS
        )
        self._unwritten_by_replica[crash.replica_id] = unwritten.union(
            _Findings.of_crash(crash)
        )
        if self._writer_task is None or self._writer_task.done():
            self._writer_task = asyncio.create_task(self._write_all())

    async def _write_all(self):
        """Write pending crashes to the store until none is left."""
        while self._unwritten_by_replica:
            await asyncio.sleep(WRITE_DELAY_S)
            replica_ids = list(self._unwritten_by_replica)[:MAX_KEYS_PER_WRITE]
            try:
                await self._write(replica_ids)
            except exceptions.AnvilwellError as error:
                _LOG.log("ends-not-told", cause=error.message)
                await asyncio.sleep(WRITE_RETRY_S)

    async def _write(self, replica_ids):
        """Write the crashes of some replicas, each under a key of this VM.

        Raises
        ------
        exceptions.Conflict
            If an earlier write was applied though its response was lost. The
            next write uses the revisions that this one read.
        exceptions.NotFound
            If the lease has ended. The next write takes another.
        """
        now = self._loop.time()
        lease = await self._ensure_lease(replica_ids)
        findings_by_replica = {
            replica_id: self._written(replica_id).findings.union(
                self._unwritten_by_replica[replica_id]
            )
            for replica_id in replica_ids
        }
        swaps = [
            self._swap(replica_id, findings, lease)
            for replica_id, findings in findings_by_replica.items()
        ]
        try:
            result = await self._store.swap(swaps)
        except exceptions.NotFound:
            self._lease_until = float("-inf")
            raise
        for swap, replica_id in zip(swaps, replica_ids, strict=True):
            written = self._written(replica_id)._replace(
                revision=_revision(result, swap.key), at=now
            )
            self._written_by_replica[replica_id] = written
        if not result.landed:
            raise exceptions.Conflict("a crash was written before")
        self._record_written(findings_by_replica)

    def _written(self, replica_id):
        """Return the `_Written` of a replica's key."""
        absent = _Written(_NO_FINDINGS, 0, 0.0)
        return self._written_by_replica.get(replica_id, absent)

    def _swap(self, replica_id, findings, lease):
        """Return the write of a replica's findings under the key of this VM.

        Requests that any entry has cleared are not written as crashing.
        """
        counted = (
            fingerprint
            for fingerprint in findings.fingerprints
            if not self._quarantine.is_cleared(fingerprint, replica_id)
        )
        crash = crash_notifier.Crash(
            replica_id,
            tuple(sorted(counted)),
            tuple(sorted(findings.cleared)),
        )
        return keyvalue.Swap(
            own_key(replica_id, self._vm_id),
            self._written(replica_id).revision,
            cbor2.dumps(crash),
            lease,
        )

    def _record_written(self, findings_by_replica):
        """Record the findings that the store has; drop those of old keys."""
        for replica_id, findings in findings_by_replica.items():
            written = self._written_by_replica[replica_id]
            self._written_by_replica[replica_id] = written._replace(
                findings=findings
            )
            if findings.union(self._unwritten_by_replica[replica_id]) == (
                findings
            ):
                del self._unwritten_by_replica[replica_id]
        oldest_at = self._loop.time() - quarantines.LONG_PAUSE_S
        self._written_by_replica = {
            replica_id: written
            for replica_id, written in self._written_by_replica.items()
            if written.at > oldest_at
        }

    async def _ensure_lease(self, replica_ids):
        """Return a lease for a write of the findings of some replicas.

        Leases are not renewed; each one holds the keys of several crashes and
        has at least half its time left. Findings with cleared requests get a
        new one, so that they outlive the crashes that other VMs have written.
        """
        now = self._loop.time()
        has_cleared = any(
            self._unwritten_by_replica[replica_id].cleared
            for replica_id in replica_ids
        )
        if has_cleared or now > self._lease_until:
            self._lease = await self._store.grant(quarantines.LONG_PAUSE_S)
            self._lease_until = now + quarantines.LONG_PAUSE_S / 2
        return self._lease


def own_key(replica_id, vm_id):
    """Return the key under which a VM writes a replica's crash.

    It is a hash, since keys must be short and ids may be long.
    """
    name = cbor2.dumps((replica_id, vm_id))
    return PREFIX + hashlib.blake2b(name, digest_size=16).hexdigest()


def _revision(result, key):
    """Return the revision of a key after a swap, 0 if it does not exist.

    Parameters
    ----------
    result : keyvalue.SwapResult
        The result of the swap.
    key : str
        The key.
    """
    if result.landed:
        return result.revision
    entry = result.entries_by_key.get(key)
    return entry.revision if entry else 0


async def _refuses_connections(address):
    """Return whether a replica's address refuses connections."""
    try:
        connection = await client.Connection.open(
            address, CRASH_CHECK_TIMEOUT_S
        )
    except exceptions.BackendFailed as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    connection.close()
    return False
