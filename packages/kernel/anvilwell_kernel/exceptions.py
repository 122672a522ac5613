"""The exception hierarchy; each error carries a verdict and a reason."""

from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts


class AnvilwellError(Exception):
    """Base class of all errors that the system raises on purpose.

    Parameters
    ----------
    message : str
        What is wrong and how to fix it.
    reason : reasons.Refusal, optional
        The reason under which the error is counted; the default of the
        class if omitted.
    verdict : verdict.Verdict, optional
        Whether the request may have run; the default of the class if
        omitted.
    retry_after : float, optional
        Seconds that the caller should wait before it retries.
    """

    verdict = verdicts.Verdict.NOT_RUN
    reason = reasons.Refusal.INTERNAL
    status = 500

    def __init__(
        self, message, *, reason=None, verdict=None, retry_after=None
    ):
        super().__init__(message)
        self.message = message
        self.reason = reason or self.reason
        self.verdict = verdict or self.verdict
        self.retry_after = retry_after


class ConfigurationError(AnvilwellError):
    """Settings or a service document are invalid.

    Parameters
    ----------
    problems : iterable of problem.Problem
        Every problem found, each with its key and a suggested fix.
    """

    reason = reasons.Refusal.BAD_DOCUMENT
    status = 422

    def __init__(self, problems):
        self.problems = tuple(problems)
        super().__init__("\n".join(str(one) for one in self.problems))


class BadRequest(AnvilwellError):
    """The caller's request is malformed."""

    reason = reasons.Refusal.BAD_REQUEST
    status = 400


class NotFound(AnvilwellError):
    """The service or object that the request names does not exist."""

    reason = reasons.Refusal.UNKNOWN_SERVICE
    status = 404


class UnknownKey(AnvilwellError):
    """The request carries no API key, or one of no organisation."""

    reason = reasons.Refusal.UNKNOWN_KEY
    status = 401


class RegionNotAllowed(AnvilwellError):
    """No region is allowed by all lists that apply to the request."""

    reason = reasons.Refusal.REGION_NOT_ALLOWED
    status = 403


class Conflict(AnvilwellError):
    """The request conflicts with something that was accepted before."""

    reason = reasons.Refusal.CONFLICT
    status = 409


class Refused(AnvilwellError):
    """The request was refused before it was run."""

    reason = reasons.Refusal.OVERLOADED
    status = 503


class MalformedMessage(AnvilwellError):
    """A frame from a peer cannot be decoded."""

    reason = reasons.Refusal.BAD_FRAME


class DuplicateKind(AnvilwellError):
    """Two message classes of one codec have the same name."""


class LinkLost(AnvilwellError):
    """A link to a peer was lost; requests sent over it may have run."""

    reason = reasons.Refusal.LINK_LOST
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    status = 502


class BackendFailed(AnvilwellError):
    """A backend server failed while it was handling the request."""

    reason = reasons.Refusal.BACKEND_FAILED
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    status = 502


class Timeout(AnvilwellError):
    """The deadline passed while the request was in progress."""

    reason = reasons.Refusal.DEADLINE
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    status = 504


class KeyValueUnavailable(AnvilwellError):
    """The key-value service did not answer; a write may have been applied."""

    reason = reasons.Refusal.KEY_VALUE_UNAVAILABLE
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    status = 503


class Fenced(AnvilwellError):
    """An order carried an outdated fencing number."""

    reason = reasons.Refusal.FENCED
    status = 409
