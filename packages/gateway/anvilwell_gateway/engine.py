"""The engine beside an agent, as a port."""

import abc
import enum
import typing


class EngineReport(typing.NamedTuple):
    """What an engine says of itself.

    ``replica_id`` is the id that the engine checks, "" if it names none;
    ``orders_taken`` counts the orders of this life of the engine, which
    began at the Unix millisecond ``started_ms``, 0 if that is not known.
    """

    replica_id: str
    version_by_model: dict
    is_busy: bool
    orders_taken: int
    running: int
    started_ms: int = 0


class OrderResult(enum.StrEnum):
    """How an engine answered an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds-already"
    BUSY = "busy"
    REFUSED = "refused"


class VersionOrder(typing.NamedTuple):
    """An order to load weights.

    It holds only for the life ``replica_id`` of the engine and only if
    that has taken ``orders_taken`` orders: an order that is carried out
    late, after a newer one, changes nothing.
    """

    replica_id: str
    model: str
    version: int
    holder: str
    fencing: int
    orders_taken: int


class Engine(abc.ABC):
    """Reports and takes orders.

    Every method raises ``exceptions.BackendFailed``.
    """

    @abc.abstractmethod
    async def report(self):
        """Return the `EngineReport` as of now."""

    @abc.abstractmethod
    async def order(self, order):
        """Give a `VersionOrder`; return its `OrderResult`."""

    @abc.abstractmethod
    def close(self):
        """Close the connections."""
