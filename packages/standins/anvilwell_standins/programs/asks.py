"""What a caller asks: streams, look-ups and notices."""

import enum
import itertools
import json
import typing

NOT_MODEL = 0


class Kind(enum.StrEnum):
    """A kind of ask."""

    STREAM = "stream"
    LOOKUP = "lookup"
    NOTICE = "notice"


class Ask(typing.NamedTuple):
    """One request; ``path`` is the backend server's own."""

    ask: str
    entry: str
    service: str
    method: str
    path: str
    key: str
    idempotent: bool
    prompt: str
    seed: int
    max_tokens: int
    body: str


class AskMaker:
    """Makes asks whose prompts, bodies and keys are unique.

    Parameters
    ----------
    who : str
        Name of the caller; a part of all that must be unique.
    model, plain : str
        Names of the model service and the plain service.
    max_tokens : int
        Length of a stream.
    """

    def __init__(self, who, model, plain, max_tokens):
        self._who = who
        self._model = model
        self._plain = plain
        self._max_tokens = max_tokens
        self._numbers = itertools.count(1)

    def make(self, kind, rng):
        """Return a new `Ask` of `kind`, without an entry yet."""
        name = f"{self._who}-{next(self._numbers)}"
        make = {
            Kind.STREAM: self._stream,
            Kind.LOOKUP: self._lookup,
            Kind.NOTICE: self._notice,
        }[kind]
        return make(name, rng)

    def again(self, ask):
        """Return the same request as a new ask."""
        return ask._replace(ask=f"{self._who}-{next(self._numbers)}")

    def _stream(self, name, rng):
        return Ask(
            name,
            "",
            self._model,
            "POST",
            "/v1/completions",
            "",
            True,
            f"season plan for {name}",
            rng.randrange(1 << 30),
            self._max_tokens,
            "",
        )

    def _lookup(self, name, rng):
        path = f"/stops/{rng.randrange(1000)}"
        return Ask(
            name, "", self._plain, "GET", path, "", True, "", 0, NOT_MODEL, ""
        )

    def _notice(self, name, rng):
        return Ask(
            name,
            "",
            self._plain,
            "POST",
            "/notices",
            f"key-{name}",
            False,
            "",
            0,
            NOT_MODEL,
            f"bus change {name}",
        )


def url_path(ask):
    """Return the path at the entry."""
    if ask.max_tokens:
        return ask.path
    return f"/services/{ask.service}{ask.path}"


def wire_body(ask):
    """Return the body to send in bytes, or None."""
    if not ask.max_tokens:
        return ask.body.encode() or None
    body = {
        "model": ask.service,
        "prompt": ask.prompt,
        "seed": ask.seed,
        "max_tokens": ask.max_tokens,
        "stream": True,
    }
    return json.dumps(body).encode()
