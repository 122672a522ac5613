"""Writes crashes under requests to the store, one key for each replica.

Entries that start read them there, as do entries that a notification did not
reach.
"""

import asyncio
import hashlib
import typing

import cbor2

from anvilwell_decisions.requests import quarantine as quarantines
from anvilwell_gateway import cluster_state
from anvilwell_gateway import crash_notifier
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs
from anvilwell_outside.ports import keyvalue

PREFIX = f"{cluster_state.PREFIX}crashes/"
# How long crashes are gathered for one write, in seconds: the replicas of a
# rack crash together.
WRITE_DELAY_S = 0.05
# Limit of the keys in one write, one for each crashed replica. The store
# accepts 32.
MAX_KEYS_PER_WRITE = 32
# Delay before a failed write is repeated, in seconds, the same as for reads
# of the store.
WRITE_RETRY_S = 1.0

_LOG = logs.get_logger(__name__)


class _Findings(typing.NamedTuple):
    """What this VM observed of one replica's crash.

    ``fingerprints`` are of the requests that the crash cut, ``cleared`` of
    those that it no longer counts against.
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


class CrashWriter:
    """Writes what this VM observed of crashes, until the store has it.

    Parameters
    ----------
    store : store.AsyncStore
        The store that crashes are written to.
    vm_id : str
        The id of this VM.
    is_cleared : callable
        Returns whether the crash of a replica, the second argument, no longer
        counts against the request whose fingerprint is the first.
    """

    def __init__(self, store, vm_id, is_cleared):
        self._store = store
        self._vm_id = vm_id
        self._is_cleared = is_cleared
        self._loop = asyncio.get_running_loop()
        self._unwritten_by_replica = {}
        self._written_by_replica = {}
        self._lease = 0
        self._lease_until = float("-inf")
        self._task = None

    async def stop(self):
        """Cancel the write in progress."""
        await tasks.stop(self._task)

    @property
    def is_done(self):
        """Whether the store has everything that was to be written."""
        return not self._unwritten_by_replica

    def write(self, crash):
        """Write a `crash_notifier.Crash`, together with others soon after.

        Cleared requests get a new lease, so that they outlive the crashes that
        other VMs have written.
        """
        if crash.cleared:
            self._lease_until = float("-inf")
        unwritten = self._unwritten_by_replica.get(
            crash.replica_id, _NO_FINDINGS
        )
        self._unwritten_by_replica[crash.replica_id] = unwritten.union(
            _Findings.of_crash(crash)
        )
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._write_all())

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
        findings_by_replica = {
            replica_id: self._written(replica_id).findings.union(
                self._unwritten_by_replica[replica_id]
            )
            for replica_id in replica_ids
        }
        lease = await self._ensure_lease()
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
            if not self._is_cleared(fingerprint, replica_id)
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

    async def _ensure_lease(self):
        """Return a lease with at least half its time left.

        Leases are not renewed; each one holds the keys of several crashes.
        """
        now = self._loop.time()
        if now > self._lease_until:
            # Set before the call, as another clearance may come meanwhile.
            self._lease_until = now + quarantines.LONG_PAUSE_S / 2
            try:
                self._lease = await self._store.grant(quarantines.LONG_PAUSE_S)
            except BaseException:
                self._lease_until = float("-inf")
                raise
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
