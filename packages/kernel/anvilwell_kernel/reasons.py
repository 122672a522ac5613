"""The reasons by which refusals, retries and new connections are counted."""

import enum


class Refusal(enum.StrEnum):
    """Why a request was refused or failed; each is a label of a counter."""

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
    OVER_SHARE = "over-share"
    RATE_LIMITED = "rate-limited"
    DEADLINE = "deadline"
    DRAINING = "draining"
    NO_REPLICA = "no-replica"
    EVACUATED = "evacuated"
    NOT_CONFIGURED = "not-configured"
    CONFIGURATION_UNCERTAIN = "configuration-uncertain"
    LINK_LOST = "link-lost"
    CONNECT_FAILED = "connect-failed"
    OTHER_REPLICA = "other-replica"
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
    UNKNOWN_KEY = "unknown-key"
    QUARANTINED = "quarantined"
    REGION_NOT_ALLOWED = "region-not-allowed"
    COLD_LIMIT = "cold-limit"
    NO_MEMORY = "no-memory"


class Retry(enum.StrEnum):
    """Why a request was retried; each is a label of a counter."""

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


class NewConnection(enum.StrEnum):
    """Why a new connection to a replica was opened.

    If an earlier connection to the replica is missing from the pool, the
    reason is how that connection was lost.
    """

    FIRST_USE = "first-use"
    NEW_INCARNATION = "new-incarnation"
    SECOND_ATTEMPT = "second-attempt"
    CONCURRENT = "concurrent"
    IDLE_EXPIRED = "idle-expired"
    CLOSED_BY_REPLICA = "closed-by-replica"
    ANSWER_CUT = "answer-cut"
    ANSWER_REFUSED = "answer-refused"
    NOT_KEPT = "not-kept"
    STOPPED = "stopped"
    WAS_UNUSABLE = "was-unusable"


class Work(enum.StrEnum):
    """The kinds of work for which replicas are called."""

    LIVE_CALL = "live-call"
    ITEM = "item"
    SCORING_CALL = "scoring-call"
