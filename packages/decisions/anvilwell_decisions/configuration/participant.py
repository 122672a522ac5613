"""Takes part in the agreement protocol for one service."""

import enum
import typing

from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import configuration as messages
from anvilwell_kernel import reasons

# Aborted attempts that are remembered, so that a delayed prepare of one is
# refused.
_ABORTED_REMEMBERED = 64


class LearnResult(enum.StrEnum):
    """The result of processing a document that was read from a record."""

    APPLIED = "applied"
    KNOWN = "known"
    BEHIND = "behind"


class Pending(typing.NamedTuple):
    """A change that this instance prepared and whose outcome is unknown."""

    prepare: messages.PrepareChange
    prepared_at: float


class Participant:
    """Prepares, applies and fences documents of one service.

    The generation of the document in force never decreases. At most one
    change is prepared at a time. If its outcome is still unknown after
    ``fence_s``, new work is refused until it is known.

    Parameters
    ----------
    service : str
        The service's name.
    instance : messages.Instance
        This process.
    bounds : limits.Limits
        The limits of the protocol.
    """

    def __init__(self, service, instance, bounds):
        self.service = service
        self.in_force = messages.Document(service, 0, 0, "")
        self.pending = None
        self._instance = instance
        self._bounds = bounds
        self._aborted = {}

    def prepare(self, request, problems, now):
        """Prepare for a change, if this instance can accept it.

        Parameters
        ----------
        request : messages.PrepareChange
            The change to prepare for.
        problems : list of str
            The problems that this instance found in the text.
        now : float
            Monotonic time, s.

        Returns
        -------
        messages.PrepareAnswer
            With the state PREPARED, this instance accepts no other change
            until the outcome of this one is known.
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
        """Apply a prepared attempt whose write was accepted.

        Returns
        -------
        bool
            False if the attempt was not prepared here, so that the document
            must be fetched from the sender.
        """
        if message.sequence <= self.in_force.sequence:
            return True
        if not self._is_pending(message.attempt):
            return False
        self.learn(self.pending.prepare.document)
        return True

    def abort(self, attempt):
        """Drop an attempt that was not written and never will be."""
        self._aborted[attempt] = None
        if len(self._aborted) > _ABORTED_REMEMBERED:
            del self._aborted[next(iter(self._aborted))]
        if self._is_pending(attempt):
            self.pending = None

    def learn(self, document):
        """Process a document that was read from the record.

        Returns
        -------
        LearnResult
            ``APPLIED`` if it has a new generation, ``KNOWN`` if it has the
            current one, ``BEHIND`` if this instance has a later document.
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
        """Raise an exception unless new work may use the document in force.

        Raises
        ------
        exceptions.Refused
            With the reason NOT_CONFIGURED or CONFIGURATION_UNCERTAIN.
        """
        if self.is_uncertain(now):
            raise exceptions.Refused(
                f"the outcome of a change of service {self.service} is not "
                "known yet; try again",
                reason=reasons.Refusal.CONFIGURATION_UNCERTAIN,
                retry_after=self._bounds.resolve_step_s,
            )
        if not self.in_force.generation:
            raise exceptions.Refused(
                f"this daemon has no document for service {self.service}",
                reason=reasons.Refusal.NOT_CONFIGURED,
                retry_after=self._bounds.fence_s,
            )

    def is_uncertain(self, now):
        """Return whether a prepared change has no outcome after `fence_s`."""
        if self.pending is None:
            return False
        return now - self.pending.prepared_at >= self._bounds.fence_s

    def resolve_due(self, position, now):
        """Return the pending prepare if its outcome is to be looked up now.

        Parameters
        ----------
        position : int
            This instance's rank in its failure domain for the attempt.
        now : float
            Monotonic time, s.

        Returns
        -------
        messages.PrepareChange or None
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
