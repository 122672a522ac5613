"""Holds back requests that crash replicas.

A request that crashes a replica's process would otherwise be retried at the
next replica, and repeated by its caller, until no replica is left. Which of
its requests crashed a replica can't be observed, as all responses in flight
are cut at the same time. Innocent requests are distinguished by the number of
crashes: they are rarely running at a second one.
"""

import collections
import typing

# How long a cut response is matched with a crash of its replica, in seconds. A
# cut does not prove a crash: the replica may be running. If nothing reveals a
# crash earlier, it is detected when the replica's registration expires after
# three missed heartbeats, about four seconds.
CUT_TTL_S = 6.0
# How long a request is held back after `SUSPECT_CRASHES` crashes, in seconds.
# The pause covers the caller's own retries, so that they do not crash a third
# replica, and is short for an innocent request that was running at two
# crashes.
SHORT_PAUSE_S = 5.0
# How long a request is held back after `PROVEN_CRASHES` or more crashes, and
# how long crashes are remembered, in seconds.
LONG_PAUSE_S = 600.0
# How long cleared crashes are remembered, in seconds. Another entry or the
# store may report a crash anew for as long as it is remembered there.
CLEARED_TTL_S = 2 * LONG_PAUSE_S
SUSPECT_CRASHES = 2
PROVEN_CRASHES = 3


class _CutAnswer(typing.NamedTuple):
    """A request whose response a replica broke off, and when."""

    fingerprint: str
    at: float


class _CrashRecord(typing.NamedTuple):
    """The replicas that crashed under one request, and when the last did."""

    replica_ids: frozenset
    at: float


class KnownCrashes(typing.NamedTuple):
    """The replicas that crashed under a request, to share with other entries.

    ``age_s`` is the time since the latest crash, in seconds.
    """

    fingerprint: str
    replica_ids: tuple[str, ...]
    age_s: float


class Quarantine:
    """Counts the replicas that crashed under each request.

    A replica id stands for one incarnation of a replica. Times are in seconds
    of one clock.
    """

    def __init__(self):
        self._cuts_by_replica = collections.defaultdict(list)
        self._crashed_at_by_replica = {}
        self._records_by_fingerprint = {}
        self._cleared_by_fingerprint = {}

    @property
    def is_empty(self):
        """Whether no replica has recently crashed under any request."""
        return not self._records_by_fingerprint

    @property
    def cut_replica_ids(self):
        """Ids of the replicas that recently broke off a response."""
        return set(self._cuts_by_replica)

    def record_cut(self, fingerprint, replica_id, now):
        """Record that a replica broke off the response to a request.

        Returns whether the replica is already known to have crashed, in which
        case the crash counts against the request at once.
        """
        self._drop_expired(now)
        if replica_id in self._crashed_at_by_replica:
            self.add_crashes(fingerprint, [replica_id], now)
            return True
        self._cuts_by_replica[replica_id].append(_CutAnswer(fingerprint, now))
        return False

    def record_crash(self, replica_id, now):
        """Record that a replica has crashed.

        Returns
        -------
        set of str
            Fingerprints of the requests that the crash counts against.
        """
        self._drop_expired(now)
        self._crashed_at_by_replica[replica_id] = now
        cuts = self._cuts_by_replica.pop(replica_id, ())
        found = {cut.fingerprint for cut in cuts}
        for fingerprint in found:
            self.add_crashes(fingerprint, [replica_id], now)
        return found

    def add_crashes(self, fingerprint, replica_ids, now):
        """Add replicas that crashed under a request.

        Crashes that were cleared are left out, whoever reports them again.
        """
        counted = frozenset(replica_ids) - self._cleared_ids(fingerprint)
        known = self._records_by_fingerprint.get(fingerprint)
        before = known.replica_ids if known else frozenset()
        if not before.issuperset(counted):
            self._records_by_fingerprint[fingerprint] = _CrashRecord(
                before.union(counted), max(now, known.at) if known else now
            )

    def known_crashes(self, now):
        """Return a `KnownCrashes` of each request, most crashes first."""
        self._drop_expired(now)
        crashes = [
            KnownCrashes(fingerprint, tuple(sorted(ids)), now - at)
            for fingerprint, (ids, at) in self._records_by_fingerprint.items()
        ]
        return sorted(crashes, key=lambda one: -len(one.replica_ids))

    def clear(self, fingerprint, replica_ids, now):
        """Drop crashes of a request that got a full response after them."""
        cleared = self._cleared_ids(fingerprint).union(replica_ids)
        self._cleared_by_fingerprint[fingerprint] = _CrashRecord(cleared, now)
        record = self._records_by_fingerprint.pop(fingerprint, None)
        remaining = record.replica_ids - cleared if record else None
        if remaining:
            self._records_by_fingerprint[fingerprint] = record._replace(
                replica_ids=remaining
            )

    def is_cleared(self, fingerprint, replica_id):
        """Return whether a replica's crash no longer counts for a request."""
        return replica_id in self._cleared_ids(fingerprint)

    def _cleared_ids(self, fingerprint):
        record = self._cleared_by_fingerprint.get(fingerprint)
        return record.replica_ids if record else frozenset()

    def replica_ids(self, fingerprint):
        """Return the ids of the replicas that crashed under a request."""
        record = self._records_by_fingerprint.get(fingerprint)
        return record.replica_ids if record else frozenset()

    def crash_count(self, fingerprint):
        """Return how many replicas crashed under a request."""
        return len(self.replica_ids(fingerprint))

    def needs_trial(self, fingerprint, now):
        """Return whether a request is suspect and its pause is over."""
        is_suspect = self.crash_count(fingerprint) >= SUSPECT_CRASHES
        return is_suspect and not self.wait_s(fingerprint, now)

    def wait_s(self, fingerprint, now):
        """Return how long a request is still held back, in seconds."""
        record = self._records_by_fingerprint.get(fingerprint)
        crash_count = len(record.replica_ids) if record else 0
        if crash_count < SUSPECT_CRASHES:
            return 0.0
        pause_s = (
            LONG_PAUSE_S if crash_count >= PROVEN_CRASHES else SHORT_PAUSE_S
        )
        return max(0.0, record.at + pause_s - now)

    def held_back_count(self, now):
        """Return how many requests are held back."""
        return sum(
            self.wait_s(fingerprint, now) > 0
            for fingerprint in self._records_by_fingerprint
        )

    def _drop_expired(self, now):
        """Drop cuts, crashes and records that are too old to count."""
        self._records_by_fingerprint = {
            fingerprint: record
            for fingerprint, record in self._records_by_fingerprint.items()
            if now - record.at < LONG_PAUSE_S
        }
        self._cleared_by_fingerprint = {
            fingerprint: record
            for fingerprint, record in self._cleared_by_fingerprint.items()
            if now - record.at < CLEARED_TTL_S
        }
        self._crashed_at_by_replica = {
            replica_id: at
            for replica_id, at in self._crashed_at_by_replica.items()
            if now - at < CUT_TTL_S
        }
        for replica_id, cuts in list(self._cuts_by_replica.items()):
            cuts[:] = [cut for cut in cuts if now - cut.at < CUT_TTL_S]
            if not cuts:
                del self._cuts_by_replica[replica_id]
