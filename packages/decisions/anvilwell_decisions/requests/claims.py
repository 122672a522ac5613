"""Executes each idempotency key at most once.

Before an entry forwards a non-idempotent request, it records a claim in the
key-value service with a conditional write that succeeds only if the key has
no record yet. A claim is never taken over: only the request whose claim id
is recorded is ever forwarded. An entry has one write in progress at a time;
the changes of keys that become due meanwhile are sent together in the next
write.
"""

import itertools
import typing

from anvilwell_decisions.requests import records
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts

MAX_SWAPS_PER_WRITE = 100
# Largest number of void claims that are remembered; the oldest are dropped. A
# claim is void if its request was not run. It is remembered so that it can be
# deleted if its write is applied late.
_MAX_VOID_CLAIMS = 10000


class ClaimRequest(typing.NamedTuple):
    """A request to claim an idempotency key.

    ``forward_by`` is monotonic time in seconds, after which the request must
    not be forwarded.
    """

    claim_id: str
    key: str
    digest: str
    forward_by: float


class Swap(typing.NamedTuple):
    """A conditional change of one key.

    ``expected`` is the revision that the key must have, 0 if it must be
    absent. A ``record`` of None deletes the key.
    """

    key: str
    expected: int
    record: records.Record | None


class Write(typing.NamedTuple):
    """An action: write all `swaps` or none.

    The entry passes the result to `ClaimTracker.written`.
    """

    write_id: int
    swaps: tuple


class Forward(typing.NamedTuple):
    """The request may be forwarded, once and by this entry only."""

    claim_id: str


class Replay(typing.NamedTuple):
    """The key was executed before; the caller gets the recorded outcome."""

    claim_id: str
    outcome: records.RecordedOutcome


class Reject(typing.NamedTuple):
    """The request is not forwarded.

    ``verdict`` says whether a request with this key has been executed.
    """

    claim_id: str
    reason: reasons.Refusal
    verdict: verdicts.Verdict


class WriteApplied(typing.NamedTuple):
    """All swaps of a write were applied, at `revision`."""

    revision: int


class WriteConflict(typing.NamedTuple):
    """No swap was applied, as a key did not have the expected revision.

    ``stored_by_key`` holds the stored records of the keys; absent keys are
    missing.
    """

    stored_by_key: dict


class WriteUnknown(typing.NamedTuple):
    """There was no response: the write may or may not be applied."""


class _Settlement(typing.NamedTuple):
    """A change of a claimed key that is to be written."""

    key: str
    claim_id: str
    expected: int
    record: records.Record | None


class _HeldClaim(typing.NamedTuple):
    """A claim that is recorded in the store, with its revision."""

    request: ClaimRequest
    revision: int


class ClaimTracker:
    """Tracks the claims of one entry.

    Its methods return the actions that the entry has to carry out, in order:
    `Write`, `Forward`, `Replay` and `Reject`.

    Parameters
    ----------
    owner : str
        The entry and its incarnation.
    """

    def __init__(self, owner):
        self._owner = owner
        self._write_ids = itertools.count(1)
        self._pending_by_key = {}
        self._held_by_id = {}
        self._held_by_key = {}
        self._settling_by_key = {}
        self._writing = None
        self._maybe_written_ids = set()
        self._uncertain_by_key = {}
        self._void_keys_by_claim_id = {}
        self._alive_owners = {owner}

    @property
    def is_settled(self):
        """Whether no write is in progress and no outcome left to record."""
        return not (self._writing or self._settling_by_key)

    def owner_alive(self, owner):
        """Record that this incarnation of an entry is running."""
        self._alive_owners.add(owner)

    def owner_gone(self, owner):
        """Record that this incarnation of an entry has ended."""
        if owner != self._owner:
            self._alive_owners.discard(owner)

    def claim(self, request, now):
        """Start claiming the key of a `ClaimRequest`; return actions."""
        if request.key in self._held_by_key:
            held = self._held_by_key[request.key]
            return [self._reject_duplicate(request, held.request.digest)]
        if request.key in self._pending_by_key:
            pending = self._pending_by_key[request.key]
            return [self._reject_duplicate(request, pending.digest)]
        self._pending_by_key[request.key] = request
        return self.flush(now)

    def settle(self, claim_id, verdict, outcome, now):
        """Record how a forwarded request ended; return actions.

        The verdict ``NOT_RUN`` deletes the claim, so that the caller may
        repeat the request.
        """
        held = self._held_by_id.pop(claim_id, None)
        if held is None:
            return []
        request, revision = held
        del self._held_by_key[request.key]
        if verdict is verdicts.Verdict.NOT_RUN:
            self._mark_void(request)
        record = _settled_record(self._claim_record(request), verdict, outcome)
        self._settling_by_key[request.key] = _Settlement(
            request.key, claim_id, revision, record
        )
        return self.flush(now)

    def flush(self, now):
        """Return the next `Write`, unless one is in progress.

        Requests that have expired are rejected first.
        """
        if self._writing:
            return []
        rejected = self.expire(now)
        swaps = tuple(itertools.islice(self._swaps(), MAX_SWAPS_PER_WRITE))
        if not swaps:
            return rejected
        self._writing = Write(next(self._write_ids), swaps)
        self._maybe_written_ids.update(
            swap.record.claim_id for swap in swaps if swap.expected == 0
        )
        return [*rejected, self._writing]

    def expire(self, now):
        """Reject pending requests that are too late to be forwarded."""
        late = [
            request
            for request in self._pending_by_key.values()
            if request.forward_by <= now
        ]
        for request in late:
            self._abandon(request)
        return [
            Reject(
                request.claim_id,
                reasons.Refusal.KEY_VALUE_UNAVAILABLE,
                verdicts.Verdict.NOT_RUN,
            )
            for request in late
        ]

    def written(self, write_id, result, now):
        """Process the result of a write; return actions.

        `result` is a `WriteApplied`, `WriteConflict` or `WriteUnknown`.
        """
        if self._writing is None or self._writing.write_id != write_id:
            return []
        swaps = self._writing.swaps
        self._writing = None
        actions = []
        if isinstance(result, WriteApplied):
            for swap in swaps:
                stored = records.StoredRecord(swap.record, result.revision)
                actions.extend(self._resolve(swap.key, stored, now))
        elif isinstance(result, WriteConflict):
            for key, stored in result.stored_by_key.items():
                actions.extend(self._resolve(key, stored, now))
            self._drop_deleted(swaps, result.stored_by_key)
        return [*actions, *self.flush(now)]

    def _swaps(self):
        """Yield the outstanding swaps: settlements first, new claims last."""
        for settlement in self._settling_by_key.values():
            yield Swap(settlement.key, settlement.expected, settlement.record)
        for request in self._uncertain_by_key.values():
            if request.key not in self._settling_by_key:
                yield Swap(request.key, 0, self._claim_record(request))
        for request in self._pending_by_key.values():
            if not self._is_being_freed(request.key):
                yield Swap(request.key, 0, self._claim_record(request))

    def _is_being_freed(self, key):
        return key in self._settling_by_key or key in self._uncertain_by_key

    def _claim_record(self, request):
        return records.Record(request.claim_id, self._owner, request.digest)

    def _resolve(self, key, stored, now):
        """Process the record that is now stored for a key of a write."""
        settlement = self._settling_by_key.get(key)
        if settlement:
            self._resolve_settlement(settlement, stored)
            return []
        self._uncertain_by_key.pop(key, None)
        request = self._pending_by_key.get(key)
        if self._delete_if_void(key, stored) or request is None:
            return []
        return self._resolve_request(request, stored, now)

    def _resolve_settlement(self, settlement, stored):
        is_done = (
            stored.record == settlement.record
            or stored.record is None
            or stored.revision != settlement.expected
        )
        if is_done:
            del self._settling_by_key[settlement.key]

    def _resolve_request(self, request, stored, now):
        record = stored.record
        del self._pending_by_key[request.key]
        if record.claim_id == request.claim_id:
            return self._hold_claim(request, stored.revision, now)
        return [self._reject_or_replay(request, record)]

    def _hold_claim(self, request, revision, now):
        """Forward the request of a recorded claim, if it is not too late."""
        held = _HeldClaim(request, revision)
        self._held_by_id[request.claim_id] = held
        self._held_by_key[request.key] = held
        self._maybe_written_ids.discard(request.claim_id)
        if now < request.forward_by:
            return [Forward(request.claim_id)]
        reject = Reject(
            request.claim_id,
            reasons.Refusal.DEADLINE,
            verdicts.Verdict.NOT_RUN,
        )
        not_run = verdicts.Verdict.NOT_RUN
        settled = self.settle(request.claim_id, not_run, None, now)
        return [reject, *settled]

    def _reject_or_replay(self, request, record):
        """Answer a request whose key another request has claimed."""
        self._maybe_written_ids.discard(request.claim_id)
        if record.digest != request.digest:
            return Reject(
                request.claim_id,
                reasons.Refusal.CONFLICT,
                verdicts.Verdict.NOT_RUN,
            )
        if record.state is records.State.RAN:
            return Replay(request.claim_id, record.outcome)
        return Reject(
            request.claim_id,
            progress_reason(record, self._alive_owners),
            verdicts.Verdict.MAY_HAVE_RUN,
        )

    def _reject_duplicate(self, request, digest):
        """Reject a request whose key this entry is claiming or running."""
        if digest != request.digest:
            return Reject(
                request.claim_id,
                reasons.Refusal.CONFLICT,
                verdicts.Verdict.NOT_RUN,
            )
        return Reject(
            request.claim_id,
            reasons.Refusal.KEY_IN_PROGRESS,
            verdicts.Verdict.MAY_HAVE_RUN,
        )

    def _abandon(self, request):
        """Stop claiming a key, and delete the claim if it was written.

        If the claim was sent to the store, the write is repeated until the
        store confirms the record, so that it can be deleted.
        """
        del self._pending_by_key[request.key]
        if request.claim_id in self._maybe_written_ids:
            self._maybe_written_ids.discard(request.claim_id)
            self._uncertain_by_key[request.key] = request
            self._mark_void(request)

    def _mark_void(self, request):
        """Remember that a claim must not count, even if it is written late."""
        self._void_keys_by_claim_id[request.claim_id] = request.key
        while len(self._void_keys_by_claim_id) > _MAX_VOID_CLAIMS:
            del self._void_keys_by_claim_id[
                next(iter(self._void_keys_by_claim_id))
            ]

    def _delete_if_void(self, key, stored):
        """Schedule deletion of a void claim's record; return whether it is."""
        record = stored.record
        if (
            record is None
            or record.claim_id not in self._void_keys_by_claim_id
        ):
            return False
        self._settling_by_key[key] = _Settlement(
            key, record.claim_id, stored.revision, None
        )
        return True

    def _drop_deleted(self, swaps, stored_by_key):
        """Drop pending changes of keys that no longer have a record."""
        for swap in swaps:
            if swap.expected and swap.key not in stored_by_key:
                self._settling_by_key.pop(swap.key, None)


def progress_reason(record, alive_owners):
    """Return the refusal reason for a claimed key without an outcome.

    While the owner of the claim is running, the request is in progress; else
    its outcome is unknown.
    """
    is_open = record.state is records.State.CLAIMED
    if is_open and record.owner in alive_owners:
        return reasons.Refusal.KEY_IN_PROGRESS
    return reasons.Refusal.OUTCOME_UNKNOWN


def _settled_record(record, verdict, outcome):
    """Return the record to store for a verdict, None to delete it."""
    if verdict is verdicts.Verdict.NOT_RUN:
        return None
    if verdict is verdicts.Verdict.RAN and outcome is not None:
        return record._replace(state=records.State.RAN, outcome=outcome)
    return record._replace(state=records.State.UNKNOWN)
