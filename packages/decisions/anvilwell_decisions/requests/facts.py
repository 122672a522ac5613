"""Inputs of the decisions on requests."""

import enum
import typing


class Priority(enum.StrEnum):
    """The priority class of a request; live requests precede training."""

    LIVE = "live"
    TRAINING = "training"


class RequestFacts(typing.NamedTuple):
    """The properties of a request that matter for routing.

    ``version`` and ``adapter`` are constraints; "" allows any. ``prefix``
    identifies the prefix of the prompt, "" if there is none. ``excluded``
    holds the replicas on which this request has already failed.
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
    """The location of a replica and what it has loaded."""

    replica_id: str
    failure_domain: str = ""
    versions: frozenset = frozenset()
    adapters: frozenset = frozenset()


class LoadReport(typing.NamedTuple):
    """The load of a replica at an earlier moment.

    ``in_flight`` counts running and queued requests; ``own`` of them were
    sent by the entry that gets the report. ``limit`` is how many can run at
    once. ``contention`` is how long work takes at that moment, as a multiple
    of the usual time; None if the replica does not report it.
    """

    replica_id: str
    in_flight: int
    own: int = 0
    limit: int = 1
    contention: float | None = None


class AttemptEnd(typing.NamedTuple):
    """How one attempt ended; ``latency_s`` counts from its start.

    ``is_answer`` is true if the latency is that of a complete, short response.
    """

    replica_id: str
    failed: bool
    latency_s: float
    is_answer: bool = False
