"""A model engine beside an agent."""

import abc
import typing


class Load(typing.NamedTuple):
    """What an engine reports of itself, with a lag."""

    running: int
    waiting: int
    cache_share: float
    version: str


class Tokens(typing.NamedTuple):
    """A piece of a generated stream, made by one weight version."""

    text: str
    count: int
    version: str


class Finish(typing.NamedTuple):
    """The end of a whole stream."""

    reason: str
    count: int


class CacheEvent(typing.NamedTuple):
    """A block of the prefix cache was ``stored`` or ``evicted``."""

    number: int
    kind: str
    block: str


class Order(typing.NamedTuple):
    """An order to an engine with its fencing number."""

    kind: str
    argument: str
    fencing: int


class Engine(abc.ABC):
    """Blocking calls to one engine; errors carry a verdict."""

    @abc.abstractmethod
    def load(self, *, timeout_s):
        """Return the engine's `Load`."""

    @abc.abstractmethod
    def generate(self, attempt_id, body, *, timeout_s):
        """Yield `Tokens`, then one `Finish`.

        Parameters
        ----------
        attempt_id : str
            Unique to this attempt.
        body : dict
            The JSON-able completion; ``stream`` is set in it.
        timeout_s : float
            Bound of the whole stream.

        Raises
        ------
        exceptions.BackendFailed
            With verdict ``NOT_RUN`` if the engine never took it.
        """

    @abc.abstractmethod
    def cancel(self, attempt_id, *, timeout_s):
        """Give up `attempt_id`; no error if it is not there."""

    @abc.abstractmethod
    def order(self, order, *, timeout_s):
        """Carry out `order`; raise ``exceptions.Fenced`` if it is old."""

    @abc.abstractmethod
    def export_cache(self, attempt_id, *, timeout_s):
        """Return the attempt's KV cache as bytes."""

    @abc.abstractmethod
    def import_cache(self, attempt_id, data, *, timeout_s):
        """Take a KV cache exported elsewhere."""

    @abc.abstractmethod
    def events(self, since, *, timeout_s):
        """Return each `CacheEvent` after number `since`, with gaps."""
