"""Holds back requests under which replicas end.

A request that makes a replica's process end would otherwise be retried at
the next replica, and come again from its caller, until none is left. Which
request did it can't be seen, as all that a replica ran are cut together;
but bystanders do not meet a second replica that ends, or seldom.
"""

import collections
import typing

# A connection may be cut though the replica goes on. Its registration
# lapses three heartbeats after its end, some four seconds, if nothing
# else tells of it before.
CUT_TTL_S = 6.0
# After `SUSPECT_CRASHES`. A caller's own retries fall into it, so a third
# replica stays for the other callers; a bystander that was unlucky twice
# may come back after it.
SHORT_PAUSE_S = 5.0
# After `PROVEN_CRASHES` or more, and how long ends are remembered.
LONG_PAUSE_S = 600.0
SUSPECT_CRASHES = 2
PROVEN_CRASHES = 3


class _CutAnswer(typing.NamedTuple):
    """A request whose answer was cut, and when."""

    fingerprint: str
    at: float


class _CrashRecord(typing.NamedTuple):
    """The replicas that ended under one request, and the last time."""

    replica_ids: frozenset
    at: float


class KnownCrashes(typing.NamedTuple):
    """The replicas that ended under a request, and how long ago the last.

    ``age_s`` is in seconds.
    """

    fingerprint: str
    replica_ids: tuple[str, ...]
    age_s: float


class Quarantine:
    """Counts the replicas that ended under each request.

    A replica's id names one life of it. Times are in seconds of one clock.
    """

    def __init__(self):
        self._cuts_by_replica = collections.defaultdict(list)
        self._crashed_at_by_replica = {}
        self._records_by_fingerprint = {}

    @property
    def is_empty(self):
        """Whether no replica has ended under any request lately."""
        return not self._records_by_fingerprint

    @property
    def cut_replica_ids(self):
        """Ids of the replicas that cut an answer lately."""
        return set(self._cuts_by_replica)

    def record_cut(self, fingerprint, replica_id, now):
        """Note that a replica cut the answer to a request.

        Returns whether the replica is known to have ended, so that the
        end counts against the request at once.
        """
        self._drop_expired(now)
        if replica_id in self._crashed_at_by_replica:
            self.add_crashes(fingerprint, [replica_id], now)
            return True
        self._cuts_by_replica[replica_id].append(_CutAnswer(fingerprint, now))
        return False

    def record_crash(self, replica_id, now):
        """Note that a replica has ended.

        Returns
        -------
        set of str
            Fingerprints of the requests that it counts against.
        """
        self._drop_expired(now)
        self._crashed_at_by_replica[replica_id] = now
        cuts = self._cuts_by_replica.pop(replica_id, ())
        found = {cut.fingerprint for cut in cuts}
        for fingerprint in found:
            self.add_crashes(fingerprint, [replica_id], now)
        return found

    def add_crashes(self, fingerprint, replica_ids, now):
        """Take in replicas that ended under a request."""
        known = self._records_by_fingerprint.get(fingerprint)
        before = known.replica_ids if known else frozenset()
        if not before.issuperset(replica_ids):
            self._records_by_fingerprint[fingerprint] = _CrashRecord(
                before.union(replica_ids), max(now, known.at) if known else now
            )

    def known_crashes(self, now):
        """Return a `KnownCrashes` of each request, most crashes first."""
        self._drop_expired(now)
        crashes = [
            KnownCrashes(fingerprint, tuple(sorted(ids)), now - at)
            for fingerprint, (ids, at) in self._records_by_fingerprint.items()
        ]
        return sorted(crashes, key=lambda one: -len(one.replica_ids))

    def clear(self, fingerprint):
        """Note that a replica answered a request whole: it ends none."""
        self._records_by_fingerprint.pop(fingerprint, None)

    def replica_ids(self, fingerprint):
        """Return the ids of the replicas that ended under a request."""
        record = self._records_by_fingerprint.get(fingerprint)
        return record.replica_ids if record else frozenset()

    def crash_count(self, fingerprint):
        """Return how many replicas ended under a request."""
        return len(self.replica_ids(fingerprint))

    def needs_trial(self, fingerprint, now):
        """Return whether a request is suspect, but held back no longer."""
        is_suspect = self.crash_count(fingerprint) >= SUSPECT_CRASHES
        return is_suspect and not self.wait_s(fingerprint, now)

    def wait_s(self, fingerprint, now, min_crashes=SUSPECT_CRASHES):
        """Return how long a request is held back, in seconds; 0 if not.

        Parameters
        ----------
        min_crashes : int
            Ends from which on it is. `PROVEN_CRASHES` is for work that loses
            more by a short pause than one replica of many is worth.
        """
        record = self._records_by_fingerprint.get(fingerprint)
        crash_count = len(record.replica_ids) if record else 0
        if crash_count < min_crashes:
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
        self._records_by_fingerprint = {
            fingerprint: record
            for fingerprint, record in self._records_by_fingerprint.items()
            if now - record.at < LONG_PAUSE_S
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
