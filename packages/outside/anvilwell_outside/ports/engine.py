"""Port to an engine: the backend server that runs a model for an agent."""

import abc
import typing


class Load(typing.NamedTuple):
    """Load that an engine reports; it lags behind the engine's state.

    ``cache_share`` is the share of the cache's capacity that is in use,
    ``version`` the active weight version.
    """

    running: int
    waiting: int
    cache_share: float
    version: str


class Tokens(typing.NamedTuple):
    """A piece of a generated stream, all from one weight version.

    ``count`` is the number of tokens in ``text``.
    """

    text: str
    count: int
    version: str


class Finish(typing.NamedTuple):
    """End of a complete stream.

    ``reason`` is the engine's finish reason, ``count`` the number of
    tokens in the whole stream.
    """

    reason: str
    count: int


class CacheEvent(typing.NamedTuple):
    """A change to the engine's prefix cache.

    ``kind`` is ``stored`` or ``evicted``; ``number`` is the position in
    the engine's sequence of events.
    """

    number: int
    kind: str
    block: str


class Order(typing.NamedTuple):
    """An order to an engine, with the fencing number of its sender.

    ``kind`` names the operation, such as ``load`` or ``activate``, and
    ``argument`` what it applies to, such as a weight version.
    """

    kind: str
    argument: str
    fencing: int


class Engine(abc.ABC):
    """Blocking calls to one engine.

    Each error carries a verdict: whether the engine may have run the call.
    """

    @abc.abstractmethod
    def load(self, *, timeout_s):
        """Return the engine's `Load`."""

    @abc.abstractmethod
    def generate(self, attempt_id, body, *, timeout_s):
        """Yield `Tokens`, then one `Finish`.

        Parameters
        ----------
        attempt_id : str
            Identifies this attempt; never used for another one.
        body : dict
            Completion request, serializable as JSON. The adapter sets its
            ``stream`` field.
        timeout_s : float
            Limit for the whole stream, in seconds.

        Raises
        ------
        exceptions.BackendFailed
            If the call fails or the stream ends early; with verdict
            ``NOT_RUN`` only if the engine did not accept the request.
        """

    @abc.abstractmethod
    def cancel(self, attempt_id, *, timeout_s):
        """Cancel attempt `attempt_id`; does nothing if it is not running."""

    @abc.abstractmethod
    def order(self, order, *, timeout_s):
        """Have the engine execute `order`.

        Raises
        ------
        exceptions.Fenced
            If the engine has received a higher fencing number.
        """

    @abc.abstractmethod
    def export_cache(self, attempt_id, *, timeout_s):
        """Return the KV cache of attempt `attempt_id` as bytes."""

    @abc.abstractmethod
    def import_cache(self, attempt_id, data, *, timeout_s):
        """Load a KV cache that another engine exported for `attempt_id`."""

    @abc.abstractmethod
    def events(self, since, *, timeout_s):
        """Return the `CacheEvent`s after number `since`.

        The numbers may have gaps: an engine can lose events.
        """
