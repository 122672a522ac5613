"""At most one execution for each idempotency key.

Before an entry forwards a non-idempotent request it records a claim in
the key-value service, by a swap that lands only if there is no record.
Claims are never taken over, so the one request with the recorded claim
id is the only one that is ever forwarded. Swaps wait for one another
and go out together in one write.
"""

import itertools
import typing

from anvilwell_decisions.requests import records
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts

MAX_SWAPS_PER_WRITE = 100
_MAX_ABANDONED = 10000


class Question(typing.NamedTuple):
    """A request that asks to be the one that runs for its key.

    ``forward_by`` is monotonic time in seconds, after which it must not
    be forwarded.
    """

    claim_id: str
    key: str
    digest: str
    forward_by: float


class Swap(typing.NamedTuple):
    """One conditional change; ``record`` None deletes, 0 is absent."""

    key: str
    expected: int
    record: records.Record | None


class Write(typing.NamedTuple):
    """Write all `swaps` or none; the result goes to `Book.written`."""

    write_id: int
    swaps: tuple


class Forward(typing.NamedTuple):
    """The request may be forwarded, now and by nobody else."""

    claim_id: str


class Replay(typing.NamedTuple):
    """The key ran before; its caller gets the recorded outcome."""

    claim_id: str
    outcome: records.Outcome


class Reject(typing.NamedTuple):
    """The request is not forwarded; ``verdict`` is that of its key."""

    claim_id: str
    reason: reasons.Refusal
    verdict: verdicts.Verdict


class Landed(typing.NamedTuple):
    """All swaps of a write landed at `revision`."""

    revision: int


class Clashed(typing.NamedTuple):
    """None landed; what is kept for the keys, absent ones left out."""

    kept_by_key: dict


class Lost(typing.NamedTuple):
    """No answer: the write may have landed, or may land later."""


class _Settlement(typing.NamedTuple):
    key: str
    claim_id: str
    expected: int
    record: records.Record | None


class _Held(typing.NamedTuple):
    question: Question
    revision: int


class Book:
    """The claims of one entry.

    Parameters
    ----------
    owner : str
        Name of the entry and its incarnation.
    """

    def __init__(self, owner):
        self._owner = owner
        self._numbers = itertools.count(1)
        self._asked_by_key = {}
        self._held_by_id = {}
        self._held_by_key = {}
        self._settling_by_key = {}
        self._writing = None
        self._written_once = set()
        self._doubtful_by_key = {}
        self._abandoned = {}
        self._alive_owners = {owner}

    @property
    def is_settled(self):
        """Whether nothing waits to be written."""
        return not (self._writing or self._settling_by_key)

    def owner_alive(self, owner):
        """Note that an entry runs in this incarnation."""
        self._alive_owners.add(owner)

    def owner_gone(self, owner):
        """Note that an entry's incarnation has ended."""
        if owner != self._owner:
            self._alive_owners.discard(owner)

    def ask(self, question, now):
        """Take a `Question`; return actions."""
        if question.key in self._held_by_key:
            held = self._held_by_key[question.key]
            return [self._in_progress(question, held.question.digest)]
        if question.key in self._asked_by_key:
            asked = self._asked_by_key[question.key]
            return [self._in_progress(question, asked.digest)]
        self._asked_by_key[question.key] = question
        return self.flush(now)

    def settle(self, claim_id, verdict, outcome, now):
        """Record how a forwarded request ended; return actions.

        ``NOT_RUN`` frees the key, so that the caller may repeat it.
        """
        held = self._held_by_id.pop(claim_id, None)
        if held is None:
            return []
        question, revision = held
        del self._held_by_key[question.key]
        if verdict is verdicts.Verdict.NOT_RUN:
            self._never_forward(question)
        record = _settled(self._claim(question), verdict, outcome)
        self._settling_by_key[question.key] = _Settlement(
            question.key, claim_id, revision, record
        )
        return self.flush(now)

    def flush(self, now):
        """Return the next `Write`, unless one is under way."""
        if self._writing:
            return []
        rejected = self.expire(now)
        swaps = tuple(itertools.islice(self._swaps(), MAX_SWAPS_PER_WRITE))
        if not swaps:
            return rejected
        self._writing = Write(next(self._numbers), swaps)
        self._written_once.update(
            swap.record.claim_id for swap in swaps if swap.expected == 0
        )
        return [*rejected, self._writing]

    def expire(self, now):
        """Give up claims that came too late to be forwarded."""
        late = [
            question
            for question in self._asked_by_key.values()
            if question.forward_by <= now
        ]
        for question in late:
            self._abandon(question)
        return [
            Reject(
                question.claim_id,
                reasons.Refusal.KEY_VALUE_UNAVAILABLE,
                verdicts.Verdict.NOT_RUN,
            )
            for question in late
        ]

    def written(self, write_id, result, now):
        """Take `Landed`, `Clashed` or `Lost` for a write."""
        if self._writing is None or self._writing.write_id != write_id:
            return []
        swaps = self._writing.swaps
        self._writing = None
        actions = []
        if isinstance(result, Landed):
            for swap in swaps:
                kept = records.Kept(swap.record, result.revision)
                actions.extend(self._resolve(swap.key, kept, now))
        elif isinstance(result, Clashed):
            for key, kept in result.kept_by_key.items():
                actions.extend(self._resolve(key, kept, now))
            self._forget_deleted(swaps, result.kept_by_key)
        return [*actions, *self.flush(now)]

    def _swaps(self):
        for settlement in self._settling_by_key.values():
            yield Swap(settlement.key, settlement.expected, settlement.record)
        for question in self._doubtful_by_key.values():
            if question.key not in self._settling_by_key:
                yield Swap(question.key, 0, self._claim(question))
        for question in self._asked_by_key.values():
            if not self._is_being_freed(question.key):
                yield Swap(question.key, 0, self._claim(question))

    def _is_being_freed(self, key):
        return key in self._settling_by_key or key in self._doubtful_by_key

    def _claim(self, question):
        return records.Record(question.claim_id, self._owner, question.digest)

    def _resolve(self, key, kept, now):
        """Apply what is now kept for one key of the last write."""
        settlement = self._settling_by_key.get(key)
        if settlement:
            self._resolve_settlement(settlement, kept)
            return []
        self._doubtful_by_key.pop(key, None)
        question = self._asked_by_key.get(key)
        if self._free_abandoned(key, kept) or question is None:
            return []
        return self._resolve_question(question, kept, now)

    def _resolve_settlement(self, settlement, kept):
        is_done = (
            kept.record == settlement.record
            or kept.record is None
            or kept.revision != settlement.expected
        )
        if is_done:
            del self._settling_by_key[settlement.key]

    def _resolve_question(self, question, kept, now):
        record = kept.record
        del self._asked_by_key[question.key]
        if record.claim_id == question.claim_id:
            return self._own(question, kept.revision, now)
        return [self._of_other(question, record)]

    def _own(self, question, revision, now):
        """Hold a claim that is certainly recorded."""
        held = _Held(question, revision)
        self._held_by_id[question.claim_id] = held
        self._held_by_key[question.key] = held
        self._written_once.discard(question.claim_id)
        if now < question.forward_by:
            return [Forward(question.claim_id)]
        reject = Reject(
            question.claim_id,
            reasons.Refusal.DEADLINE,
            verdicts.Verdict.NOT_RUN,
        )
        not_run = verdicts.Verdict.NOT_RUN
        settled = self.settle(question.claim_id, not_run, None, now)
        return [reject, *settled]

    def _of_other(self, question, record):
        """Answer a question whose key another request has claimed."""
        self._written_once.discard(question.claim_id)
        if record.digest != question.digest:
            return Reject(
                question.claim_id,
                reasons.Refusal.CONFLICT,
                verdicts.Verdict.NOT_RUN,
            )
        if record.state is records.State.RAN:
            return Replay(question.claim_id, record.outcome)
        return Reject(
            question.claim_id,
            progress_reason(record, self._alive_owners),
            verdicts.Verdict.MAY_HAVE_RUN,
        )

    def _in_progress(self, question, digest):
        if digest != question.digest:
            return Reject(
                question.claim_id,
                reasons.Refusal.CONFLICT,
                verdicts.Verdict.NOT_RUN,
            )
        return Reject(
            question.claim_id,
            reasons.Refusal.KEY_IN_PROGRESS,
            verdicts.Verdict.MAY_HAVE_RUN,
        )

    def _abandon(self, question):
        """Give up a claim, and free its key should it have landed.

        A claim that was written, perhaps, is written again until the
        store says that it is there, so that it can be deleted.
        """
        del self._asked_by_key[question.key]
        if question.claim_id in self._written_once:
            self._written_once.discard(question.claim_id)
            self._doubtful_by_key[question.key] = question
            self._never_forward(question)

    def _never_forward(self, question):
        """Remember that a claim is void, also if it lands late."""
        self._abandoned[question.claim_id] = question.key
        while len(self._abandoned) > _MAX_ABANDONED:
            del self._abandoned[next(iter(self._abandoned))]

    def _free_abandoned(self, key, kept):
        """Delete a record that is void; return whether it is."""
        record = kept.record
        if record is None or record.claim_id not in self._abandoned:
            return False
        self._settling_by_key[key] = _Settlement(
            key, record.claim_id, kept.revision, None
        )
        return True

    def _forget_deleted(self, swaps, kept_by_key):
        """Drop settlements whose records are no longer there."""
        for swap in swaps:
            if swap.expected and swap.key not in kept_by_key:
                self._settling_by_key.pop(swap.key, None)


def progress_reason(record, alive_owners):
    """Return why a claimed key has no outcome yet."""
    is_open = record.state is records.State.CLAIMED
    if is_open and record.owner in alive_owners:
        return reasons.Refusal.KEY_IN_PROGRESS
    return reasons.Refusal.OUTCOME_UNKNOWN


def _settled(record, verdict, outcome):
    if verdict is verdicts.Verdict.NOT_RUN:
        return None
    if verdict is verdicts.Verdict.RAN and outcome is not None:
        return record._replace(state=records.State.RAN, outcome=outcome)
    return record._replace(state=records.State.UNKNOWN)
