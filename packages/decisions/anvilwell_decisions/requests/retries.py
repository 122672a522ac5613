"""Decides whether a failed attempt is retried, and after which delay."""

import enum
import typing

from anvilwell_decisions.requests import facts
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts


class Action(enum.StrEnum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    GIVE_UP = "give-up"


class FailedAttempt(typing.NamedTuple):
    """A failed attempt at a request.

    ``has_response_started`` says whether the caller already has a part of a
    response. ``time_left_s`` is the time until the deadline.
    """

    verdict: verdicts.Verdict
    reason: reasons.Refusal
    idempotent: bool
    attempts: int
    time_left_s: float
    has_response_started: bool = False
    retry_after_s: float | None = None
    priority: facts.Priority = facts.Priority.LIVE


class RetryDecision(typing.NamedTuple):
    """What to do after a failed attempt.

    ``reason`` is the label under which a retry is counted, None if there is
    none.
    """

    action: Action
    delay_s: float = 0.0
    reason: reasons.Retry | None = None


class RetrySettings(typing.NamedTuple):
    """Settings of retries.

    ``share`` is how many retries and hedges each first attempt earns;
    ``burst`` is how many can be saved up.
    """

    share: float = 0.1
    burst: float = 10.0
    max_attempts: int = 4
    base_delay_s: float = 0.01
    max_delay_s: float = 1.0


GIVE_UP = RetryDecision(Action.GIVE_UP)

# Whether a request may be sent again, by (verdict, idempotent).
MAY_RETRY = {
    (verdicts.Verdict.NOT_RUN, True): True,
    (verdicts.Verdict.NOT_RUN, False): True,
    (verdicts.Verdict.MAY_HAVE_RUN, True): True,
    (verdicts.Verdict.MAY_HAVE_RUN, False): False,
    (verdicts.Verdict.RAN, True): False,
    (verdicts.Verdict.RAN, False): False,
}

# Attempts that failed for one of these reasons are not retried, since another
# attempt can't change the reason.
_FINAL_REASONS = frozenset(
    {
        reasons.Refusal.BAD_REQUEST,
        reasons.Refusal.BODY_TOO_LARGE,
        reasons.Refusal.UNKNOWN_SERVICE,
        reasons.Refusal.CONFLICT,
        reasons.Refusal.RATE_LIMITED,
        reasons.Refusal.CANCELLED,
        reasons.Refusal.FORBIDDEN,
    }
)

_RETRIES_BY_REASON = {
    reasons.Refusal.CONNECT_FAILED: reasons.Retry.CONNECT_FAILED,
    reasons.Refusal.LINK_LOST: reasons.Retry.LINK_LOST,
    reasons.Refusal.BACKEND_FAILED: reasons.Retry.BACKEND_FAILED,
    reasons.Refusal.ANSWER_CUT: reasons.Retry.BACKEND_FAILED,
    reasons.Refusal.DRAINING: reasons.Retry.DRAINED,
}


class RetryBudget:
    """A token bucket: retries as a share of first attempts, plus a burst."""

    def __init__(self, share, burst):
        self._share = share
        self._burst = burst
        self._tokens = burst

    def earn(self):
        """Add the share of one first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def spend(self):
        """Use one retry; return False if none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Retries:
    """Decides on the retries and hedges of one service at one entry.

    Each priority class has its own budget, so that retries of refused training
    requests do not use up those of live requests.
    """

    def __init__(self, rng, settings=None):
        self._rng = rng
        self._settings = settings or RetrySettings()
        self._budgets_by_priority = {
            priority: RetryBudget(self._settings.share, self._settings.burst)
            for priority in facts.Priority
        }

    def first_attempt(self, priority=facts.Priority.LIVE):
        """Count a first attempt, which adds to its class's budget."""
        self._budgets_by_priority[priority].earn()

    def decide(self, failed_attempt):
        """Return the `RetryDecision` for a `FailedAttempt`."""
        if not self._is_allowed(failed_attempt):
            return GIVE_UP
        delay_s = self._delay_s(failed_attempt)
        budget = self._budgets_by_priority[failed_attempt.priority]
        if delay_s >= failed_attempt.time_left_s or not budget.spend():
            return GIVE_UP
        reason = _RETRIES_BY_REASON.get(
            failed_attempt.reason, reasons.Retry.REFUSED_NOT_RUN
        )
        return RetryDecision(Action.RETRY, delay_s, reason)

    def may_hedge(
        self,
        idempotent,
        has_response_started=False,
        priority=facts.Priority.LIVE,
    ):
        """Return whether to send a parallel attempt; if so, spend a retry."""
        budget = self._budgets_by_priority[priority]
        return idempotent and not has_response_started and budget.spend()

    def _is_allowed(self, failed_attempt):
        return (
            MAY_RETRY[failed_attempt.verdict, failed_attempt.idempotent]
            and failed_attempt.reason not in _FINAL_REASONS
            and not failed_attempt.has_response_started
            and failed_attempt.attempts < self._settings.max_attempts
        )

    def _delay_s(self, failed_attempt):
        """Return a uniformly random delay below an exponential bound."""
        if failed_attempt.attempts <= 1:
            return 0.0
        settings = self._settings
        bound_s = settings.base_delay_s * 2 ** (failed_attempt.attempts - 1)
        return self._rng.uniform(0, min(bound_s, settings.max_delay_s))
