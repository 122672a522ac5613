"""Messages that every control link between two daemons carries."""

import typing


class Hello(typing.NamedTuple):
    """The first frame each way: who speaks and whom it means to reach.

    ``address`` is where the speaker listens. ``wanted`` is "" if any
    daemon at that address will do.
    """

    vm_id: str
    address: str
    wanted: str = ""


class Envelope(typing.NamedTuple):
    """One message; numbers are 0 where no answer is meant."""

    request: int
    answers: int
    message: bytes


class Failure(typing.NamedTuple):
    """Answers a request that raised an error."""

    verdict: str
    reason: str
    message: str
    retry_after_s: float | None = None
    status: int = 500


class Done(typing.NamedTuple):
    """Answers a request whose handler had nothing to say."""


KINDS = (Hello, Envelope, Failure, Done)
