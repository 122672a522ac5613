"""A plain service beside an agent."""

import abc
import typing


class Request(typing.NamedTuple):
    """One call; ``idempotent`` says whether it may be repeated."""

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    idempotent: bool = False


class Response(typing.NamedTuple):
    """The head of an answer, and an iterator over its body."""

    status: int
    headers: list[tuple[str, str]]
    chunks: typing.Iterator[bytes]


class Plain(abc.ABC):
    """Blocking calls to one plain service; errors carry a verdict."""

    @abc.abstractmethod
    def call(self, request, *, timeout_s):
        """Return the `Response` to `request`; close its chunks."""
