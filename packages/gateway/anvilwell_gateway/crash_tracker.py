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

import cbor2
import pydantic

from anvilwell_decisions.requests import quarantine as quarantines
from anvilwell_gateway import crash_notifier
from anvilwell_gateway import crash_sync
from anvilwell_gateway import crash_writer
from anvilwell_gateway.http import client
from anvilwell_gateway import measures
from anvilwell_gateway import tasks
from anvilwell_gateway import trials
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs

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

_CRASH = pydantic.TypeAdapter(crash_notifier.Crash)

_LOG = logs.get_logger(__name__)


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
        self._directory = directory
        self._loop = asyncio.get_running_loop()
        self._quarantine = quarantines.Quarantine()
        self._notifier = crash_notifier.CrashNotifier(vm_id, peers)
        self._crash_sync = crash_sync.CrashSync(
            vm_id, peers, self._learn_known
        )
        self._trials = trials.Trials(vm_id, peers, self._quarantine)
        self._writer = crash_writer.CrashWriter(
            store, vm_id, self._quarantine.is_cleared
        )
        self._checks = set()
        directory.listen(self._replicas_changed)

    async def stop(self):
        """Cancel the checks, writes and calls in progress."""
        await self._notifier.stop()
        await self._crash_sync.stop()
        await self._trials.stop()
        await self._writer.stop()
        await tasks.stop(*self._checks)

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
        self._writer.write(crash)


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
