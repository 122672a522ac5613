"""Messages that carry one request from an entry to an agent and back."""

import typing


class RequestStart(typing.NamedTuple):
    """Starts one attempt of a request on a stream.

    ``deadline_s`` is the time left when the frame was sent, in
    seconds: clocks of two VMs are never compared. An attempt that
    goes on with a cut stream names the weight ``version`` it needs.
    ``flush_s`` is how long a piece may wait for others to join it, in
    seconds: the entry chooses it, because it pays for each piece.
    """

    stream_id: int
    request_id: str
    attempt: int
    service: str
    priority: str
    idempotent: bool
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline_s: float
    task_id: str
    generation: int
    credit: int
    key: str = ""
    version: str = ""
    flush_s: float = 0.02


class RequestCancel(typing.NamedTuple):
    """Asks the agent to give up a stream."""

    stream_id: int
    reason: str


class Credit(typing.NamedTuple):
    """Allows the agent to send `frames` more data frames."""

    stream_id: int
    frames: int


class ResponseHead(typing.NamedTuple):
    """Starts the answer; ids repeat those of the request."""

    stream_id: int
    request_id: str
    attempt: int
    status: int
    headers: list[tuple[str, str]]


class ResponseData(typing.NamedTuple):
    """One piece of the answer; ``sequence`` counts from 0.

    A model's piece is UTF-8 text of `tokens` tokens, all made by weight
    version `version`; a plain service's piece is bytes of its body.
    """

    stream_id: int
    sequence: int
    data: bytes
    tokens: int = 0
    version: str = ""


class ResponseEnd(typing.NamedTuple):
    """Ends a whole answer of `frames` data frames."""

    stream_id: int
    request_id: str
    attempt: int
    frames: int
    finish: str = ""


class ResponseError(typing.NamedTuple):
    """Ends a stream without a whole answer."""

    stream_id: int
    request_id: str
    attempt: int
    verdict: str
    reason: str
    message: str
    retry_after_s: float | None = None
    status: int = 503


KINDS = (
    RequestStart,
    RequestCancel,
    Credit,
    ResponseHead,
    ResponseData,
    ResponseEnd,
    ResponseError,
)
