"""One instance's view of one service's document."""

import enum
import typing

from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import configuration as messages
from anvilwell_kernel import reasons

_ABORTED_REMEMBERED = 64


class LearnResult(enum.StrEnum):
    """What became of a document that an instance was shown."""

    APPLIED = "applied"
    KNOWN = "known"
    BEHIND = "behind"


class Pending(typing.NamedTuple):
    """A change that this instance prepared and knows no outcome of."""

    prepare: messages.PrepareChange
    prepared_at: float


class Participant:
    """Prepares, applies and fences documents of one service.

    The document in force only moves to later generations. At most one
    change is prepared at a time; `fence_s` after that, new work is
    refused until the outcome is known.

    Parameters
    ----------
    service : str
        The service's name.
    instance : messages.Instance
        This process.
    bounds : limits.Limits
        The protocol's bounds.
    """

    def __init__(self, service, instance, bounds):
        self.service = service
        self.in_force = messages.Document(service, 0, 0, "")
        self.pending = None
        self._instance = instance
        self._bounds = bounds
        self._aborted = {}

    def prepare(self, request, problems, now):
        """Answer a `PrepareChange`.

        Parameters
        ----------
        request : messages.PrepareChange
            The change to get ready for.
        problems : list of str
            What this instance finds wrong with the text.
        now : float
            Monotonic time, s.

        Returns
        -------
        messages.PrepareAnswer
            Once it says prepared, the instance is bound by it.
        """
        if self._is_pending(request.attempt):
            return self._answer(request, messages.PrepareState.PREPARED)
        reason = self._objection(request, problems)
        if reason is not None:
            return self._answer(
                request,
                messages.PrepareState.REFUSED,
                reason=str(reason),
                problems=list(problems),
            )
        self.pending = Pending(request, now)
        return self._answer(request, messages.PrepareState.PREPARED)

    def commit(self, message):
        """Apply a prepared attempt that landed.

        Returns
        -------
        bool
            False if the document must be fetched from the sender.
        """
        if message.sequence <= self.in_force.sequence:
            return True
        if not self._is_pending(message.attempt):
            return False
        self.learn(self.pending.prepare.document)
        return True

    def abort(self, attempt):
        """Forget an attempt that never landed and never will."""
        self._aborted[attempt] = None
        if len(self._aborted) > _ABORTED_REMEMBERED:
            del self._aborted[next(iter(self._aborted))]
        if self._is_pending(attempt):
            self.pending = None

    def learn(self, document):
        """Take in what the record held after some write of it.

        Returns
        -------
        LearnResult
            ``BEHIND`` if this instance has seen a later write.
        """
        if document.sequence < self.in_force.sequence:
            return LearnResult.BEHIND
        if document.generation < self.in_force.generation:
            return LearnResult.BEHIND
        if document.sequence == self.in_force.sequence:
            return LearnResult.KNOWN
        applied = document.generation > self.in_force.generation
        self.in_force = document
        pending = self.pending
        if pending and document.sequence > pending.prepare.base_sequence:
            self.pending = None
        return LearnResult.APPLIED if applied else LearnResult.KNOWN

    def check(self, now):
        """Raise unless new work may be taken under the document.

        Raises
        ------
        exceptions.Refused
            With the reason NOT_CONFIGURED or CONFIGURATION_UNCERTAIN.
        """
        if self.is_uncertain(now):
            raise exceptions.Refused(
                f"an outcome of a change of {self.service} is not known "
                "yet; try again",
                reason=reasons.Refusal.CONFIGURATION_UNCERTAIN,
                retry_after=self._bounds.resolve_step_s,
            )
        if not self.in_force.generation:
            raise exceptions.Refused(
                f"no document of {self.service} is known here",
                reason=reasons.Refusal.NOT_CONFIGURED,
                retry_after=self._bounds.fence_s,
            )

    def is_uncertain(self, now):
        """Return whether a prepared change is without outcome too long."""
        if self.pending is None:
            return False
        return now - self.pending.prepared_at >= self._bounds.fence_s

    def resolve_due(self, position, now):
        """Return the attempt whose outcome to look for now, or None.

        Parameters
        ----------
        position : int
            This instance's rank in its failure domain for the attempt.
        now : float
            Monotonic time, s.
        """
        if self.pending is None:
            return None
        delay_s = (
            self._bounds.resolve_s + position * self._bounds.resolve_step_s
        )
        if now - self.pending.prepared_at < delay_s:
            return None
        return self.pending.prepare

    def _objection(self, request, problems):
        if request.attempt in self._aborted:
            return reasons.Refusal.CONFLICT
        if self.pending is not None:
            return reasons.Refusal.CONFLICT
        if request.base_sequence < self.in_force.sequence:
            return reasons.Refusal.CONFLICT
        if request.document.generation <= self.in_force.generation:
            return reasons.Refusal.CONFLICT
        return reasons.Refusal.BAD_DOCUMENT if problems else None

    def _is_pending(self, attempt):
        return (
            self.pending is not None
            and self.pending.prepare.attempt == attempt
        )

    def _answer(self, request, state, **details):
        return messages.PrepareAnswer(
            self._instance, request.attempt, state, **details
        )
