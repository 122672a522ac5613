"""Carries out one change of a document at its proposer."""

import enum
import typing

from anvilwell_kernel import documents
from anvilwell_kernel.messages import configuration as messages
from anvilwell_kernel import reasons

from anvilwell_decisions.configuration import outcomes
from anvilwell_decisions.configuration import record as records
from anvilwell_decisions.configuration import registry

_LEFT_OUT = frozenset(
    (
        messages.PrepareState.LEAVING,
        messages.PrepareState.RESTARTED,
        messages.PrepareState.GONE,
    )
)


class StoredValue(typing.NamedTuple):
    """The value of a key as read; revision 0 and None if it is absent."""

    revision: int
    value: bytes | None


class ServiceKeys(typing.NamedTuple):
    """The values of the keys that a change of one service depends on."""

    record: StoredValue
    entries: StoredValue
    agents: StoredValue


class Write(typing.NamedTuple):
    """A write of a key that must still be at revision ``expected``."""

    key: str
    expected: int
    value: bytes


class Guard(typing.NamedTuple):
    """A key that must still be at revision ``expected``; it isn't written."""

    key: str
    expected: int


class Read(typing.NamedTuple):
    """Action: read the keys of the service."""


class SendPrepare(typing.NamedTuple):
    """Action: request the targets to prepare."""

    prepare: messages.PrepareChange


class CompareAndSwap(typing.NamedTuple):
    """Action: apply all writes if all revisions match, else none."""

    writes: list[Write]
    guards: typing.Sequence[Guard] = ()


class SendCommit(typing.NamedTuple):
    """Action: notify the targets that the change is in force."""

    commit: messages.CommitChange


class SendAbort(typing.NamedTuple):
    """Action: notify the targets that the change will never be in force."""

    abort: messages.AbortChange


class ReportOutcome(typing.NamedTuple):
    """Action: report the outcome to the operator."""

    outcome: outcomes.Outcome


class Phase(enum.StrEnum):
    """The phases of a proposal."""

    READING = "reading"
    PREPARING = "preparing"
    SWAPPING = "swapping"
    READING_BACK = "reading-back"
    DONE = "done"


class Proposal:
    """The state machine of one change; takes events and returns actions.

    The accepting write is sent only after each listed instance has prepared
    or certainly does not serve. Once the write may have been sent, only the
    record can show whether it was applied.

    Parameters
    ----------
    request : outcomes.Request
        The change; its text has been validated at the proposer.
    attempt : str
        An id that is unique to this proposal.
    in_force : messages.Document
        The document in force at the proposer.
    bounds : limits.Limits
        The limits of the protocol.
    now : float
        Monotonic time, s.
    """

    def __init__(self, request, attempt, in_force, bounds, now):
        self.request = request
        self.attempt = attempt
        self.phase = Phase.READING
        self._bounds = bounds
        self._in_force = in_force
        self._started_at = now
        self._prepare_started_at = now
        self._due_at = now
        self._prepare = None
        self._reading = None
        self._swaps = 0
        self._is_in_doubt = False
        self._is_answered = False
        self._waiting_by_key = {}
        self._prepared_by_key = {}
        self._left_out_by_key = {}

    def start(self):
        """Return the first actions."""
        return [Read()]

    def on_reading(self, reading, now):
        """Process the `ServiceKeys` that were read."""
        if self.phase is Phase.READING:
            return self._on_first_reading(reading, now)
        if self.phase is Phase.READING_BACK:
            return self._on_reading_back(reading, now)
        return []

    def on_read_failed(self, now):
        """Process that the key-value service did not answer a read."""
        if self.phase is Phase.READING:
            return self._refuse(reasons.Refusal.KEY_VALUE_UNAVAILABLE)
        self._due_at = now + self._bounds.retry_s
        return []

    def on_answer(self, answer, now):
        """Process a member's answer to the prepare.

        An answer with a state such as GONE does not come from the member: the
        sender found out why the member can't answer.
        """
        key = _key(answer.instance)
        if self.phase is not Phase.PREPARING:
            return []
        if answer.attempt != self.attempt or key not in self._waiting_by_key:
            return []
        if answer.state is messages.PrepareState.UNREACHABLE:
            return []
        if answer.state is messages.PrepareState.REFUSED:
            return self._on_refusal(answer)
        instance = self._waiting_by_key.pop(key)
        if answer.state in _LEFT_OUT:
            self._left_out_by_key[key] = instance
        else:
            self._prepared_by_key[key] = instance
        return self._swap_if_ready()

    def on_swap(self, is_applied, now):
        """Process whether the accepting write was applied."""
        if self.phase is not Phase.SWAPPING:
            return []
        if is_applied:
            return self._commit(self._prepare.document)
        self.phase = Phase.READING_BACK
        return [Read()]

    def on_swap_lost(self, never_sent, now):
        """Process that there was no response to the accepting write.

        Parameters
        ----------
        never_sent : bool
            True only if it certainly did not reach the key-value service.
        now : float
            Monotonic time, s.
        """
        if self.phase is not Phase.SWAPPING:
            return []
        if never_sent and not self._is_in_doubt:
            return self._abort(reasons.Refusal.KEY_VALUE_UNAVAILABLE)
        self._is_in_doubt = True
        self.phase = Phase.READING_BACK
        self._due_at = now + self._bounds.retry_s
        return []

    def tick(self, now):
        """Return the actions that are due at `now`."""
        if self.phase is Phase.PREPARING:
            return self._tick_preparing(now)
        actions = self._answer_if_late(now)
        if self.phase is Phase.READING_BACK and now >= self._due_at:
            self._due_at = now + self._bounds.retry_s
            actions.append(Read())
        return actions

    def _on_first_reading(self, reading, now):
        record = records.decode(reading.record.value, self.request.service)
        earlier = records.find_change(record, self.request.change_id)
        digest = documents.digest(self.request.text)
        if earlier is not None and earlier.digest == digest:
            return self._finish_in_force(earlier.generation)
        if earlier is not None or self._is_unexpected(record):
            return self._refuse(reasons.Refusal.CONFLICT)
        base = max(
            records.document_of(record),
            self._in_force,
            key=lambda one: one.sequence,
        )
        if base.generation and base.text == self.request.text:
            return self._finish_in_force(base.generation)
        self._prepare = messages.PrepareChange(
            self.attempt,
            self.request.change_id,
            messages.Document(
                self.request.service,
                base.generation + 1,
                base.sequence + 1,
                self.request.text,
            ),
            base.sequence,
            [],
        )
        return self._prepare_listed(reading, now)

    def _on_reading_back(self, reading, now):
        record = records.decode(reading.record.value, self.request.service)
        change = records.find_attempt(record, self.attempt)
        if change is not None:
            return self._commit(self._prepare.document)
        if record.sequence > self._prepare.base_sequence:
            return self._abort(reasons.Refusal.CONFLICT)
        return self._prepare_listed(reading, now)

    def _prepare_listed(self, reading, now):
        self._reading = reading
        self._prepare_started_at = now
        self._due_at = now + self._bounds.retry_s
        self.phase = Phase.PREPARING
        return self._send_prepare(self._listed()) + self._swap_if_ready()

    def _listed(self):
        slots = (self._reading.entries, self._reading.agents)
        return [
            instance
            for slot in slots
            for instance in registry.decode(slot.value).instances
        ]

    def _send_prepare(self, instances):
        new = [one for one in instances if not self._was_asked(_key(one))]
        self._waiting_by_key.update((_key(one), one) for one in new)
        return [SendPrepare(self._prepare._replace(targets=new))] * bool(new)

    def _was_asked(self, key):
        return (
            key in self._waiting_by_key
            or key in self._prepared_by_key
            or key in self._left_out_by_key
        )

    def _on_refusal(self, answer):
        vm_id = answer.instance.vm_id
        problems = [f"{vm_id}: {problem}" for problem in answer.problems]
        return self._abort(
            answer.reason, problems or [f"{vm_id}: {answer.reason}"]
        )

    def _swap_if_ready(self):
        if self._waiting_by_key:
            return []
        self._swaps += 1
        if self._swaps > self._bounds.swap_attempts and not self._is_in_doubt:
            return self._abort(reasons.Refusal.CONFLICT)
        self.phase = Phase.SWAPPING
        return [self._accepting_swap()]

    def _accepting_swap(self):
        lists = (
            self._list_condition(
                registry.ENTRY_MEMBERS_KEY, self._reading.entries
            ),
            self._list_condition(
                registry.agents_key(self.request.service),
                self._reading.agents,
            ),
        )
        return CompareAndSwap(
            [
                self._accepting_write(),
                *(one for one in lists if isinstance(one, Write)),
            ],
            [one for one in lists if isinstance(one, Guard)],
        )

    def _accepting_write(self):
        service = self.request.service
        record = records.decode(self._reading.record.value, service)
        document = self._prepare.document
        change = records.Change(
            self.request.change_id,
            self.attempt,
            document.generation,
            documents.digest(document.text),
            self.request.operator,
        )
        value = records.encode(records.accept(record, document, change))
        return Write(
            registry.record_key(service), self._reading.record.revision, value
        )

    def _list_condition(self, key, slot):
        """Return a `Write` if it removes members from the list, or a `Guard`.

        Either way the accepting write fails if a member joined that was not
        requested to prepare.
        """
        listed = registry.decode(slot.value)
        kept = registry.prune(listed, self._left_out_by_key.values())
        if kept == listed:
            return Guard(key, slot.revision)
        return Write(key, slot.revision, registry.encode(kept))

    def _tick_preparing(self, now):
        if now >= self._prepare_started_at + self._bounds.prepare_s:
            missing = sorted(
                one.vm_id for one in self._waiting_by_key.values()
            )
            return self._abort(
                reasons.Refusal.MEMBERS_MISSING, missing=missing
            )
        if now < self._due_at:
            return []
        self._due_at = now + self._bounds.retry_s
        waiting = list(self._waiting_by_key.values())
        return [SendPrepare(self._prepare._replace(targets=waiting))]

    def _answer_if_late(self, now):
        is_late = now >= self._started_at + self._bounds.propose_s
        if self._is_answered or not is_late or self.phase is Phase.DONE:
            return []
        if self.phase is Phase.READING:
            return self._refuse(reasons.Refusal.KEY_VALUE_UNAVAILABLE)
        return self._reply(
            outcomes.OutcomeKind.UNKNOWN, reasons.Refusal.OUTCOME_UNKNOWN
        )

    def _commit(self, document):
        self.phase = Phase.DONE
        commit = messages.CommitChange(
            self.attempt,
            document.service,
            document.generation,
            document.sequence,
            list(self._prepared_by_key.values()),
        )
        answer = self._reply(
            outcomes.OutcomeKind.IN_FORCE, generation=document.generation
        )
        return [SendCommit(commit), *answer]

    def _abort(self, reason, problems=(), missing=()):
        """Refuse the change, unless a write of it may still be applied."""
        if self._is_in_doubt and self.phase is Phase.PREPARING:
            # An earlier write, for which these members were not needed, may
            # still be applied; only the record can show that.
            self.phase = Phase.READING_BACK
            return []
        self.phase = Phase.DONE
        targets = self._prepared_by_key | self._waiting_by_key
        abort = messages.AbortChange(
            self.attempt, self.request.service, list(targets.values())
        )
        answer = self._reply(
            outcomes.OutcomeKind.REFUSED,
            reason,
            problems=list(problems),
            missing=list(missing),
            is_transient=str(reason) == reasons.Refusal.CONFLICT,
        )
        return [SendAbort(abort), *answer]

    def _refuse(self, reason):
        self.phase = Phase.DONE
        return self._reply(outcomes.OutcomeKind.REFUSED, reason)

    def _finish_in_force(self, generation):
        self.phase = Phase.DONE
        return self._reply(
            outcomes.OutcomeKind.IN_FORCE, generation=generation
        )

    def _is_unexpected(self, record):
        expected = self.request.expected_generation
        return expected is not None and expected != record.generation

    def _reply(self, kind, reason="", generation=0, **details):
        if self._is_answered:
            return []
        self._is_answered = True
        outcome = outcomes.Outcome(
            kind,
            generation,
            self.request.change_id,
            details.pop("problems", []),
            details.pop("missing", []),
            str(reason),
            **details,
        )
        return [ReportOutcome(outcome)]


def _key(instance):
    return (instance.vm_id, instance.incarnation)
