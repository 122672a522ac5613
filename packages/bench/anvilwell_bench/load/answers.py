"""What a caller makes of an HTTP answer."""

import json
import typing

import pydantic
import sseclient
import typing_extensions

_DONE = "[DONE]"


class Answer(typing.NamedTuple):
    """An answer as its caller understood it; `status` 0 is none."""

    status: int
    whole: bool = False
    text: str = ""
    verdict: str = ""
    reason: str = ""
    request_id: str = ""
    retry_after_s: float = 0.0


class _Error(typing_extensions.TypedDict):
    verdict: str
    reason: str


class _Choice(typing_extensions.TypedDict):
    text: str


class _Event(typing_extensions.TypedDict, total=False):
    choices: list[_Choice]
    error: _Error


class _ErrorBody(typing_extensions.TypedDict):
    error: _Error


_EVENT = pydantic.TypeAdapter(_Event)
_ERROR_BODY = pydantic.TypeAdapter(_ErrorBody)


def read_stream(response):
    """Return the `Answer` in a streamed completion.

    Parameters
    ----------
    response : urllib3.BaseHTTPResponse
        A response whose body has not been read.
    """
    texts = []
    head = _head(response)
    for event in sseclient.SSEClient(response).events():
        if event.data == _DONE:
            return head._replace(whole=True, text="".join(texts))
        message = _EVENT.validate_json(event.data)
        if "error" in message:
            return _failed(head, message["error"], "".join(texts))
        texts += [choice["text"] for choice in message.get("choices", ())]
    return head._replace(text="".join(texts))


def read_body(response):
    """Return the `Answer` in a response with one whole body."""
    head = _head(response)
    text = response.read().decode()
    if response.status < 400:
        return head._replace(whole=True, text=text)
    try:
        return _failed(head, _ERROR_BODY.validate_json(text)["error"], text)
    except pydantic.ValidationError:
        return head._replace(text=text)


def read_completion(response):
    """Return the `Answer` in a streamed completion or an error."""
    if response.status == 200:
        return read_stream(response)
    return read_body(response)


def as_line(answer):
    """Return the fields of an ``answer`` line."""
    fields = answer._asdict()
    del fields["retry_after_s"]
    return fields


def encode(body):
    """Return `body` as JSON bytes."""
    return json.dumps(body).encode()


def _head(response):
    return Answer(
        response.status,
        request_id=response.headers.get("Anvilwell-Request-Id", ""),
        retry_after_s=float(response.headers.get("Retry-After", 0)),
    )


def _failed(head, error, text):
    return head._replace(
        text=text, verdict=error["verdict"], reason=error["reason"]
    )
