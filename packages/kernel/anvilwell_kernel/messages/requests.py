"""Messages that carry requests to an agent and responses to an entry."""

import typing


class RequestStart(typing.NamedTuple):
    """Starts one attempt of a request on a stream.

    ``deadline_s`` is the time left when the frame was sent, in seconds. It
    is relative, because the clocks of two VMs are never compared. An
    attempt that resumes an interrupted stream sets ``version`` to the
    weight version that it requires. ``flush_s`` is the maximum time, in
    seconds, for which the agent holds back data in order to send it in
    fewer frames. The entry chooses it, because each frame costs the entry
    processing time.
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
    """Asks the agent to cancel a stream."""

    stream_id: int
    reason: str


class Credit(typing.NamedTuple):
    """Allows the agent to send `frames` more data frames."""

    stream_id: int
    frames: int


class ResponseHead(typing.NamedTuple):
    """Starts the response; its ids are those of the request."""

    stream_id: int
    request_id: str
    attempt: int
    status: int
    headers: list[tuple[str, str]]


class ResponseData(typing.NamedTuple):
    """A part of the response; ``sequence`` counts from 0.

    For a model, ``data`` is UTF-8 text of ``tokens`` tokens, all generated
    by weight version ``version``. For a plain service, it is part of the
    response body.
    """

    stream_id: int
    sequence: int
    data: bytes
    tokens: int = 0
    version: str = ""


class ResponseEnd(typing.NamedTuple):
    """Ends a complete response of ``frames`` data frames."""

    stream_id: int
    request_id: str
    attempt: int
    frames: int
    finish: str = ""


class ResponseError(typing.NamedTuple):
    """Ends a stream whose response is missing or incomplete."""

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
