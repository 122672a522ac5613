"""A caller's request as the dispatcher takes it, and its answer."""

import typing

LIVE = "live"
TRAINING = "training"
COMPLETIONS_PATH = "/v1/completions"


class Call(typing.NamedTuple):
    """One request, whatever replica it will run on.

    ``deadline_s`` is the time it may take, in seconds; ``version``, if
    not empty, is the weight version that must answer it; ``prefix``
    identifies the prompt's beginning, for the engines' caches.
    """

    request_id: str
    service: str
    body: bytes
    deadline_s: float
    method: str = "POST"
    path: str = COMPLETIONS_PATH
    headers: tuple = ()
    priority: str = LIVE
    idempotent: bool = True
    is_model: bool = True
    key: str = ""
    team: str = ""
    generation: int = 0
    version: str = ""
    prefix: str = ""


class Piece(typing.NamedTuple):
    """Part of an answer.

    A model's piece is UTF-8 text of `tokens` tokens made by weight
    version `version`; a plain service's is bytes of its body.
    """

    data: bytes
    tokens: int = 0
    version: str = ""


class Wait(typing.NamedTuple):
    """A step of a relay that waits for a mailbox's next event."""

    mailbox: typing.Any
    timeout_s: float
