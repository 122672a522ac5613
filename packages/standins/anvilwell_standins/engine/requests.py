"""Bodies that an engine takes."""

import typing

from anvilwell_kernel import exceptions
import pydantic

MAX_TOKENS = 1 << 16


class Resume(typing.NamedTuple):
    """Go on after `tokens` tokens of an imported KV cache."""

    tokens: int


class Completion(typing.NamedTuple):
    """An OpenAI-compatible completion; unknown keys are ignored."""

    prompt: str
    model: str = ""
    max_tokens: int = 16
    seed: int = 0
    index: int = 0
    stream: bool = False
    resume: Resume | None = None


class Cancel(typing.NamedTuple):
    """Gives up a request."""

    request_id: str


class Order(typing.NamedTuple):
    """An order with its fencing number."""

    kind: str
    argument: str
    fencing: int


_MAPPING = pydantic.TypeAdapter(dict[str, typing.Any])
_COMPLETION = pydantic.TypeAdapter(Completion)
CANCEL = pydantic.TypeAdapter(Cancel)
ORDER = pydantic.TypeAdapter(Order)


def parse_completion(data):
    """Return the `Completion` in `data` (bytes of JSON).

    Raises
    ------
    exceptions.BadRequest
        If it is not JSON, a field has the wrong type, or ``max_tokens``
        is out of bounds.
    """
    try:
        body = _MAPPING.validate_json(data)
        known = {k: v for k, v in body.items() if k in Completion._fields}
        completion = _COMPLETION.validate_python(known)
    except ValueError as error:
        raise exceptions.BadRequest(f"body is not valid: {error}") from error
    if not 0 < completion.max_tokens <= MAX_TOKENS:
        raise exceptions.BadRequest(
            f"max_tokens must be between 1 and {MAX_TOKENS}"
        )
    return completion
