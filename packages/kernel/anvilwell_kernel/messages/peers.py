"""Messages of the protocol of control links between two daemons."""

import typing


class Hello(typing.NamedTuple):
    """The first frame in each direction, which identifies the sender.

    ``address`` is where the sender listens. ``wanted`` is the id of the VM
    that it intends to reach, or "" if it accepts any daemon at that
    address.
    """

    vm_id: str
    address: str
    wanted: str = ""


class Envelope(typing.NamedTuple):
    """A message with its request numbers.

    ``request`` is the number of this request, or 0 if no answer is
    expected. ``answers`` is the number of the request that this message
    answers, or 0 if it is not an answer.
    """

    request: int
    answers: int
    message: bytes


class Failure(typing.NamedTuple):
    """Answers a request whose handler raised an error."""

    verdict: str
    reason: str
    message: str
    retry_after_s: float | None = None
    status: int = 500


class Done(typing.NamedTuple):
    """Answers a request whose handler returned nothing."""


KINDS = (Hello, Envelope, Failure, Done)
