"""Port to a plain service: a backend server that runs no model."""

import abc
import typing


class Request(typing.NamedTuple):
    """An HTTP request; ``idempotent`` says whether it may be repeated."""

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    idempotent: bool = False


class Response(typing.NamedTuple):
    """An HTTP response; ``chunks`` iterates over its body."""

    status: int
    headers: list[tuple[str, str]]
    chunks: typing.Iterator[bytes]


class Plain(abc.ABC):
    """Blocking calls to one plain service.

    Each error carries a verdict: whether the service may have run the call.
    """

    @abc.abstractmethod
    def call(self, request, *, timeout_s):
        """Send `request` and return its `Response`.

        The caller closes the response's ``chunks``.
        """
