"""Records why new connections to replicas are opened."""

import collections
import typing

from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs

# Limit on the lost connections that are remembered for one replica.
MAX_LOSSES = 32

_LOG = logs.get_logger(__name__)


class Use(typing.NamedTuple):
    """What a connection is used for: a request of some work to a replica.

    ``replica`` is the replica's name, which its incarnations share.
    ``request_id`` is the id that the replica echoes in its response.
    """

    replica: str
    work: reasons.Work
    request_id: str
    is_second_attempt: bool = False

    @classmethod
    def of_replica(cls, replica, work, request_id, is_second_attempt=False):
        """Return the use of a `facts.Replica` for a request of some work."""
        name = replica.name or replica.replica_id
        return cls(name, work, request_id, is_second_attempt)


class ConnectionRecords:
    """Finds the reason of each new connection to a replica.

    Each lost connection explains one new connection to the same replica. A
    new connection that no loss explains is needed because all pooled ones
    are in use. Peers that are no replicas have no `Use` and no records.
    """

    def __init__(self):
        self._key_by_replica = {}
        self._losses_by_key = {}

    def opened(self, key, use):
        """Count a new connection to the replica `use.replica`.

        Parameters
        ----------
        key : str
            Identifies the replica's incarnation.
        use : Use
            What the connection was opened for.
        """
        reason = self._reason(key, use)
        counters.count_new_connection(use.work, reason)
        _LOG.routine(
            "connection-opened",
            replica=key,
            kind=str(use.work),
            reason=str(reason),
        )

    def lost(self, key, reason):
        """Record that a connection to `key` is no longer in the pool."""
        losses = self._losses_by_key.get(key)
        if losses is not None:
            losses.append(reason)

    def _reason(self, key, use):
        earlier = self._key_by_replica.get(use.replica)
        if earlier != key:
            self._losses_by_key.pop(earlier, None)
            self._key_by_replica[use.replica] = key
            self._losses_by_key[key] = collections.deque(maxlen=MAX_LOSSES)
        losses = self._losses_by_key[key]
        loss = losses.pop() if losses else None
        if use.is_second_attempt:
            return reasons.NewConnection.SECOND_ATTEMPT
        if earlier is None:
            return reasons.NewConnection.FIRST_USE
        if earlier != key:
            return reasons.NewConnection.NEW_INCARNATION
        return loss or reasons.NewConnection.CONCURRENT
