"""What the platform tells: configuration, replicas and batches."""

import typing


class Weighted(typing.NamedTuple):
    """A service and its weight in a route's traffic."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Where requests of one host and path go.

    ``is_batch`` routes take batches; ``is_idempotent`` requests may run
    more than once. Answers of ``is_stream`` routes are events, passed on
    as they come; ``is_resumable`` ones may go on at another replica.
    ``max_replicas`` bounds the replicas that one request may be sent to.
    ``is_open`` routes need no key of an organisation. Results of batches are
    due ``due_s`` after their submission, 0 if at no time. Times are in
    seconds.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[Weighted, ...]
    is_batch: bool = False
    is_idempotent: bool = False
    is_resumable: bool = False
    timeout_s: float = 30.0
    target_latency_s: float = 1.0
    priority: int = 0
    max_replicas: int = 1
    max_queue_s: float = 60.0
    one_version: bool = False
    is_stream: bool = False
    is_open: bool = False
    due_s: float = 0.0


class ServiceFacts(typing.NamedTuple):
    """A service; ``slots`` is what one engine runs at a time, 0 if none.

    ``memory_tokens`` is what one engine holds of prompts and texts, 0 if
    that is not known.
    """

    name: str
    slots: int = 0
    memory_tokens: int = 0


class CallerLimits(typing.NamedTuple):
    """What callers may send, in bytes, and how long they may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Organisation(typing.NamedTuple):
    """Who sends requests, by any of its keys.

    Its ``priority`` goes before a route's; None if it has none.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class Configuration(typing.NamedTuple):
    """One version of the operators' configuration, whole."""

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict
    limits: CallerLimits
    organisations: tuple[Organisation, ...] = ()


class ModelVersion(typing.NamedTuple):
    """A model and the version of its weights."""

    model: str
    version: int


class Replica(typing.NamedTuple):
    """One life of one replica, as it registered itself.

    ``replica_id`` names this life: whatever is known of it is known of no
    other. The replica itself goes by ``name``, which it may keep when it
    starts again, and started at the Unix millisecond ``started_ms``, 0 if
    it does not say.

    ``versions`` holds the weight version of each of its models;
    ``loading`` names those that it loads, and takes no new work for.
    """

    replica_id: str
    service: str
    address: typing.Any
    failure_domain: str
    slots: int
    is_draining: bool = False
    versions: tuple[ModelVersion, ...] = ()
    loading: tuple[str, ...] = ()
    name: str = ""
    started_ms: int = 0


class ScoringCall(typing.NamedTuple):
    """The request that scores an item's text once that is whole.

    It may be repeated, always under the same ``call_id``.
    """

    call_id: str
    host: str
    target: str
    body: bytes


class Prompt(typing.NamedTuple):
    """The size of a prompt in tokens, 0 if that is not known.

    ``shared_tokens`` of them are those of all prompts with the same
    ``shared_id``, "" for none.
    """

    tokens: int = 0
    shared_id: str = ""
    shared_tokens: int = 0


class Item(typing.NamedTuple):
    """One item of a batch; ``expected_tokens`` is its caller's guess.

    Without a ``scoring_call`` its text alone is the result.
    """

    item_id: str
    target: str
    headers: tuple
    body: bytes
    group: str
    expected_tokens: int = 0
    scoring_call: ScoringCall | None = None
    prompt: Prompt = Prompt()


class Submission(typing.NamedTuple):
    """A batch as its trainer submitted it, for an ``organisation``."""

    batch_id: str
    host: str
    path: str
    items: tuple[Item, ...]
    model: str = ""
    min_version: int = 0
    wanted_groups: int = 0
    organisation: str = ""


class Result(typing.NamedTuple):
    """What became of an item; ``text`` is whole if it ``is_complete``.

    ``score`` is the seal of the scorer's answer, "" for unscored items.
    """

    item_id: str
    is_complete: bool
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


class Event(typing.NamedTuple):
    """One event of a replica's stream; ``version`` 0 if it names none."""

    number: int
    data: str
    version: int = 0
