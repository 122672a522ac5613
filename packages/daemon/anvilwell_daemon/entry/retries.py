"""Whether a failed attempt is followed by another."""

import abc
import random
import typing

from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts

MAX_ATTEMPTS = 4
MIN_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.25
BURST = 10.0


class Failure(typing.NamedTuple):
    """A failed attempt, as the decision sees it.

    ``verdict`` covers this attempt only; ``pieces`` counts what the
    caller already has.
    """

    idempotent: bool
    is_model: bool
    verdict: verdicts.Verdict
    reason: reasons.Refusal
    attempts: int
    pieces: int
    version: str
    time_left_s: float


class Retry(typing.NamedTuple):
    """Try again after `delay_s` seconds, counted under `reason`."""

    delay_s: float
    reason: reasons.Retry


class Retries(abc.ABC):
    """Decides on retries."""

    @abc.abstractmethod
    def begin(self, service, now):
        """Note a new request, which earns a share of a retry."""

    @abc.abstractmethod
    def decide(self, service, failure, now):
        """Return a `Retry`, or None to give up."""


class BudgetedRetries(Retries):
    """Retries by verdict, inside a share of the traffic.

    Parameters
    ----------
    budget : float
        Most retries, as a share of the requests.
    source : random.Random
        Source of the jitter.
    """

    def __init__(self, budget=0.1, source=None):
        self._budget = budget
        self._random = source or random.Random()
        self._tokens_by_service = {}

    def begin(self, service, now):
        """Earn a share of a retry."""
        tokens = self._tokens_by_service.get(service, BURST)
        self._tokens_by_service[service] = min(BURST, tokens + self._budget)

    def decide(self, service, failure, now):
        """Return a `Retry`, or None to give up."""
        if not _may_retry(failure):
            return None
        delay_s = self._delay(failure.attempts)
        if delay_s >= failure.time_left_s:
            return None
        tokens = self._tokens_by_service.get(service, BURST)
        if tokens < 1:
            return None
        self._tokens_by_service[service] = tokens - 1
        return Retry(delay_s, _reason(failure))

    def _delay(self, attempts):
        if attempts == 1:
            return 0.0
        ceiling = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**attempts)
        return self._random.uniform(0, ceiling)


_FINAL = frozenset(
    (
        reasons.Refusal.BAD_REQUEST,
        reasons.Refusal.BODY_TOO_LARGE,
        reasons.Refusal.UNKNOWN_SERVICE,
        reasons.Refusal.DEADLINE,
        reasons.Refusal.CANCELLED,
    )
)

_REASONS_BY_REFUSAL = {
    reasons.Refusal.CONNECT_FAILED: reasons.Retry.CONNECT_FAILED,
    reasons.Refusal.DRAINING: reasons.Retry.DRAINED,
    reasons.Refusal.LINK_LOST: reasons.Retry.LINK_LOST,
    reasons.Refusal.BACKEND_FAILED: reasons.Retry.BACKEND_FAILED,
    reasons.Refusal.ANSWER_CUT: reasons.Retry.BACKEND_FAILED,
    reasons.Refusal.UNKNOWN_VERSION: reasons.Retry.STALE_VERSION,
}


def _may_retry(failure):
    if failure.reason in _FINAL or failure.attempts >= MAX_ATTEMPTS:
        return False
    if failure.pieces:
        return failure.idempotent and failure.is_model
    if failure.verdict is verdicts.Verdict.NOT_RUN:
        return True
    return failure.idempotent


def _reason(failure):
    if failure.pieces:
        return reasons.Retry.STREAM_RESUMED
    return _REASONS_BY_REFUSAL.get(
        failure.reason, reasons.Retry.REFUSED_NOT_RUN
    )
