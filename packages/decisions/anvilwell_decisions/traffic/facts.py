"""Data from the platform: configuration, replicas and batches."""

import typing


class WeightedService(typing.NamedTuple):
    """A service and its weight in a route's traffic."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Where requests for one host and path prefix go.

    ``is_batch`` says whether the route takes batches, ``is_idempotent``
    whether its requests may run more than once. With ``is_stream`` the
    responses are events that are passed on as they arrive; with
    ``is_resumable`` a response may be continued by another replica.
    ``max_replicas`` limits the replicas that one request may be sent to. With
    ``is_open`` no organisation's key is needed. Results of batches are due
    ``due_s`` after their submission; 0 means no due time. Times are in
    seconds.

    Requests may be served, cached and stored only in ``allowed_regions``;
    None means in any region.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[WeightedService, ...]
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
    allowed_regions: frozenset[str] | None = None


class ServiceFacts(typing.NamedTuple):
    """A service, with the capacity of each of its engines.

    ``slots`` is how many requests one engine runs at a time, 0 if the service
    has no slots. ``memory_tokens`` is how many tokens of prompts and texts one
    engine can hold, 0 if unknown.

    A replica is cold for ``cold_duration_s`` seconds after its start. A cold
    replica tolerates ``cold_rate`` requests per second from all senders
    together and crashes well above that; 0 means that it has no such limit.
    A replica accepts ``max_connections`` connections from all senders
    together, 0 if unknown.
    """

    name: str
    slots: int = 0
    memory_tokens: int = 0
    cold_duration_s: float = 0.0
    cold_rate: float = 0.0
    max_connections: int = 0


class CallerLimits(typing.NamedTuple):
    """Limits on the size of callers' requests, in bytes, and on their time."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Organisation(typing.NamedTuple):
    """An organisation that sends requests, identified by any of its keys.

    Its ``priority`` overrides that of a route, unless it is None. Its requests
    may be served, cached and stored only in ``allowed_regions``, None for any
    region. A route's own list applies as well.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    allowed_regions: frozenset[str] | None = None


class Configuration(typing.NamedTuple):
    """One complete version of the operators' configuration."""

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
    """One incarnation of a replica, as it registered itself.

    ``replica_id`` identifies this incarnation; what is recorded about it does
    not apply to other incarnations. The replica itself is identified by
    ``name``, which it may keep when it starts again. ``started_ms`` is the
    Unix time at which it started, in milliseconds, 0 if it doesn't report
    this.

    ``versions`` holds the weight version of each of its models; ``loading``
    names the models that it is loading and takes no new items for.

    ``cold_s`` is how much longer the replica stays cold, in seconds, as of
    the time at which it wrote its registration; 0 if it is warm.
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
    cold_s: float = 0.0


class ScoringCall(typing.NamedTuple):
    """The request that scores an item's text once the text is complete.

    It may be repeated, always with the same ``call_id``.
    """

    call_id: str
    host: str
    target: str
    body: bytes


class Prompt(typing.NamedTuple):
    """The size of a prompt in tokens, 0 if unknown.

    ``shared_tokens`` of them are common to all prompts with the same
    ``shared_id``, which is "" if there are none.
    """

    tokens: int = 0
    shared_id: str = ""
    shared_tokens: int = 0


class Item(typing.NamedTuple):
    """One item of a batch; ``expected_tokens`` is the caller's estimate.

    Without a ``scoring_call`` its text alone is the result. ``body`` is None
    once the item needs no more runs, so that it takes no memory.
    """

    item_id: str
    target: str
    headers: tuple
    body: bytes | None
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
    """The result of an item; ``text`` is complete if ``is_complete`` is True.

    ``score`` is the seal of the scorer's response, "" for unscored items.
    """

    item_id: str
    is_complete: bool
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


class Event(typing.NamedTuple):
    """One event of a replica's stream; ``version`` is 0 if it names none."""

    number: int
    data: str
    version: int = 0
