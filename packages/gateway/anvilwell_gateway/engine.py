"""Port to an engine, the backend server that runs a model."""

import abc
import enum
import typing


class EngineReport(typing.NamedTuple):
    """The state that an engine reports.

    ``replica_id`` is the id that the engine checks in orders, "" if it
    names none. ``orders_taken`` counts the orders that the engine has taken
    since it started, at the Unix millisecond ``started_ms``; that is 0 if
    the start time is unknown.
    """

    replica_id: str
    version_by_model: dict
    is_busy: bool
    orders_taken: int
    running: int
    started_ms: int = 0


class OrderResult(enum.StrEnum):
    """The result of an order to load weights."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds-already"
    BUSY = "busy"
    REFUSED = "refused"


class VersionOrder(typing.NamedTuple):
    """An order to load weights.

    The engine carries it out only if its id is ``replica_id`` and it has
    taken exactly ``orders_taken`` orders. So an order that arrives late,
    after a newer one, changes nothing.
    """

    replica_id: str
    model: str
    version: int
    holder: str
    fencing: int
    orders_taken: int


class Engine(abc.ABC):
    """An engine that reports its state and takes orders.

    Calls raise ``exceptions.BackendFailed`` if the engine does not answer
    as expected.
    """

    @abc.abstractmethod
    async def report(self):
        """Return the current `EngineReport`."""

    @abc.abstractmethod
    async def order(self, order):
        """Send a `VersionOrder`; return its `OrderResult`."""

    @abc.abstractmethod
    def close(self):
        """Close the connections to the engine."""
