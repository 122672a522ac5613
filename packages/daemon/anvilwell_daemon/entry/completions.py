"""The OpenAI-compatible forms of a model's answer."""

import json
import typing

from anvilwell_kernel import web

EVENT_STREAM = "text/event-stream"
DONE = b"data: [DONE]\n\n"


class Whole(typing.NamedTuple):
    """A whole generated text."""

    text: str
    tokens: int
    versions: list[str]
    finish: str


def collect(answer):
    """Return the `Whole` of an answer's pieces.

    Raises
    ------
    exceptions.AnvilwellError
        If the answer is cut.
    """
    pieces = list(answer)
    versions = dict.fromkeys(piece.version for piece in pieces)
    return Whole(
        b"".join(piece.data for piece in pieces).decode(),
        sum(piece.tokens for piece in pieces),
        list(versions),
        answer.finish,
    )


def body(request_id, model, whole):
    """Return the JSON-able answer to a call without `stream`."""
    return {
        "id": request_id,
        "object": "text_completion",
        "model": model,
        "choices": [
            {"text": whole.text, "index": 0, "finish_reason": whole.finish}
        ],
        "versions": whole.versions,
        "usage": {"completion_tokens": whole.tokens},
    }


def piece_event(piece):
    """Return one piece as a server-sent event."""
    return _event(
        {
            "choices": [
                {
                    "text": piece.data.decode(),
                    "index": 0,
                    "finish_reason": None,
                }
            ],
            "version": piece.version,
            "tokens": piece.tokens,
        }
    )


def finish_event(finish):
    """Return the event that says why the text ended."""
    return _event(
        {"choices": [{"text": "", "index": 0, "finish_reason": finish}]}
    )


def error_event(error, request_id):
    """Return the event that says that the stream was cut."""
    return _event(web.error_body(error, request_id))


def _event(value):
    return b"data: " + json.dumps(value).encode() + b"\n\n"
