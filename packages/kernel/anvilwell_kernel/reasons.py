"""The counted reasons of refusals and retries."""

import enum


class Refusal(enum.StrEnum):
    """Why a request was refused or failed; one counter label each."""

    INTERNAL = "internal"
    BAD_REQUEST = "bad-request"
    BAD_DOCUMENT = "bad-document"
    BAD_FRAME = "bad-frame"
    BODY_TOO_LARGE = "body-too-large"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_VERSION = "unknown-version"
    CONFLICT = "conflict"
    DUPLICATE_SAMPLE = "duplicate-sample"
    OVERLOADED = "overloaded"
    QUEUE_FULL = "queue-full"
    RATE_LIMITED = "rate-limited"
    DEADLINE = "deadline"
    DRAINING = "draining"
    NO_REPLICA = "no-replica"
    NOT_CONFIGURED = "not-configured"
    CONFIGURATION_UNCERTAIN = "configuration-uncertain"
    LINK_LOST = "link-lost"
    CONNECT_FAILED = "connect-failed"
    BACKEND_FAILED = "backend-failed"
    ANSWER_CUT = "answer-cut"
    CANCELLED = "cancelled"
    KEY_VALUE_UNAVAILABLE = "key-value-unavailable"
    OUTCOME_UNKNOWN = "outcome-unknown"
    KEY_IN_PROGRESS = "key-in-progress"
    ALREADY_RAN = "already-ran"
    FENCED = "fenced"
    NOT_LEADER = "not-leader"
    MEMBERS_MISSING = "members-missing"
    FORBIDDEN = "forbidden"


class Retry(enum.StrEnum):
    """Why a request was tried again; one counter label each."""

    CONNECT_FAILED = "connect-failed"
    REFUSED_NOT_RUN = "refused-not-run"
    LINK_LOST = "link-lost"
    BACKEND_FAILED = "backend-failed"
    ANSWER_CUT = "answer-cut"
    STREAM_RESUMED = "stream-resumed"
    HEDGE = "hedge"
    DRAINED = "drained"
    STALE_VERSION = "stale-version"
    SCORER_FAILED = "scorer-failed"
    KEY_VALUE = "key-value"
