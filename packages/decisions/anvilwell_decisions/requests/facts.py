"""What the decisions on requests are told."""

import enum
import typing


class Priority(enum.StrEnum):
    """The class of a request; live goes before training."""

    LIVE = "live"
    TRAINING = "training"


class RequestFacts(typing.NamedTuple):
    """What routing needs to know of one request.

    ``version`` and ``adapter`` are constraints, "" for any. ``prefix``
    identifies the prompt's prefix, "" if it has none. ``excluded``
    holds replicas that this request has already failed on.
    """

    request_id: str
    service: str = ""
    priority: Priority = Priority.LIVE
    version: str = ""
    adapter: str = ""
    prefix: str = ""
    idempotent: bool = True
    excluded: frozenset = frozenset()


class ReplicaFacts(typing.NamedTuple):
    """What is known of one replica: its place and what it has loaded."""

    replica_id: str
    failure_domain: str = ""
    versions: frozenset = frozenset()
    adapters: frozenset = frozenset()


class LoadReport(typing.NamedTuple):
    """A replica's load as its agent saw it, some time ago.

    ``own`` is how many of ``in_flight`` (running and queued) belong to
    the entry that the report is for. ``limit`` is how many run at once.
    ``contention`` is how long work takes at that moment, as a multiple of
    the usual time; None if that is not told.
    """

    replica_id: str
    in_flight: int
    own: int = 0
    limit: int = 1
    contention: float | None = None


class AttemptEnd(typing.NamedTuple):
    """How one attempt ended; ``latency_s`` from its start.

    ``is_answer`` tells that it is the time of a whole short answer.
    """

    replica_id: str
    failed: bool
    latency_s: float
    is_answer: bool = False
