"""The exception tree; each error carries a verdict and a reason."""

from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts


class AnvilwellError(Exception):
    """Base of all errors that the system raises on purpose.

    Parameters
    ----------
    message : str
        What is wrong and what to do next.
    reason : reasons.Refusal, optional
        The counted reason; the class default if omitted.
    verdict : verdict.Verdict, optional
        What is known of the request; the class default if omitted.
    retry_after : float, optional
        Seconds after which a retry may succeed.
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
    """Settings or a service document are wrong.

    Parameters
    ----------
    problems : iterable of problem.Problem
        Every problem found, each with its key and the mend.
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
    """What the request names does not exist."""

    reason = reasons.Refusal.UNKNOWN_SERVICE
    status = 404


class UnknownKey(AnvilwellError):
    """The request brings no key that an organisation has."""

    reason = reasons.Refusal.UNKNOWN_KEY
    status = 401


class Conflict(AnvilwellError):
    """The request contradicts what is already accepted."""

    reason = reasons.Refusal.CONFLICT
    status = 409


class Refused(AnvilwellError):
    """The request was refused before it ran."""

    reason = reasons.Refusal.OVERLOADED
    status = 503


class MalformedMessage(AnvilwellError):
    """A frame from a peer cannot be understood."""

    reason = reasons.Refusal.BAD_FRAME


class DuplicateKind(AnvilwellError):
    """Two classes of messages that share a codec have one name."""


class LinkLost(AnvilwellError):
    """A link to a peer was lost; what it carried may have run."""

    reason = reasons.Refusal.LINK_LOST
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    status = 502


class BackendFailed(AnvilwellError):
    """A backend server failed while it had the request."""

    reason = reasons.Refusal.BACKEND_FAILED
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    status = 502


class Timeout(AnvilwellError):
    """The deadline passed while the request was under way."""

    reason = reasons.Refusal.DEADLINE
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    status = 504


class KeyValueUnavailable(AnvilwellError):
    """The key-value service gave no answer; a write may have landed."""

    reason = reasons.Refusal.KEY_VALUE_UNAVAILABLE
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    status = 503


class Fenced(AnvilwellError):
    """An order carried an old fencing number."""

    reason = reasons.Refusal.FENCED
    status = 409
