"""A pool of connections to peers, with the idle ones kept by peer."""

import asyncio
import collections
import itertools

from anvilwell_gateway.http import client
from anvilwell_gateway.http import connection_records
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts

# Limit on the number of idle connections that are kept for one peer.
MAX_IDLE_PER_PEER = 32


class Pool:
    """A pool of connections, with idle ones kept by peer.

    The key of a peer names its process and not only its address, so that a
    connection is not reused for the next process at the same address.

    Parameters
    ----------
    clock : callable
        Returns monotonic time, in seconds.
    use_keepalive : bool
        Whether to send TCP keepalive probes. Must be False for peers that
        may be suspended and then continue with a request.
    default_keep_alive_s : float
        How long peers that send no Keep-Alive header keep an idle
        connection, in seconds.
    uses_oldest : bool
        Whether the connection that was idle for longest is used first, so
        that more connections stay usable; otherwise the others expire.
    """

    def __init__(
        self,
        clock,
        use_keepalive=False,
        default_keep_alive_s=client.DEFAULT_KEEP_ALIVE_S,
        uses_oldest=False,
    ):
        self._clock = clock
        self._use_keepalive = use_keepalive
        self._default_keep_alive_s = default_keep_alive_s
        self._uses_oldest = uses_oldest
        self._idle_by_key = collections.defaultdict(collections.deque)
        self._records = connection_records.ConnectionRecords()

    async def acquire(
        self, key, address, timeout_s=client.CONNECT_TIMEOUT_S, use=None
    ):
        """Return an idle connection of the peer `key`, or open a new one.

        Parameters
        ----------
        key : str
            Identifies the peer's process.
        address : options.Address
            The peer's address.
        timeout_s : float, optional
            Time limit for opening a connection, in seconds.
        use : connection_records.Use, optional
            What the connection is for, if the peer is a replica. New
            connections are then counted by reason.
        """
        connection = await self._take_idle(key, use)
        if connection is None:
            connection = await client.Connection.open(
                address, timeout_s, self._use_keepalive
            )
            if use:
                self._records.opened(key, use)
        if use:
            connection.request_id = use.request_id
            connection.on_close = lambda closed: self._records.lost(
                key, closed.close_reason
            )
        return connection

    def idle_count(self, key):
        """Return how many idle connections of a peer are still usable."""
        now = self._clock()
        return sum(
            connection.usable_until > now
            for connection in self._idle_by_key.get(key, ())
        )

    async def _take_idle(self, key, use):
        """Return a usable idle connection of a peer, or None."""
        idle = self._idle_by_key[key]
        while connection := self._choose_idle(idle, use):
            idle.remove(connection)
            is_fresh = connection.usable_until > self._clock()
            try:
                was_silent = await connection.stop_watching()
            except asyncio.CancelledError:
                self._records.lost(key, reasons.NewConnection.STOPPED)
                connection.close()
                raise
            if was_silent and is_fresh:
                return connection
            self._lose_idle(key, connection)
        return None

    def _choose_idle(self, idle, use):
        """Return the idle connection to use next, or None.

        One whose latest request had the same id comes last, as a second
        response to that request could not be told from the next one. Only
        items use it: they are refused often, always may run again, and are
        not counted as failed for a refusal.
        """
        ordered = list(idle if self._uses_oldest else reversed(idle))
        others = (
            connection
            for connection in ordered
            if use is None or connection.request_id != use.request_id
        )
        may_repeat = use is not None and use.work is reasons.Work.ITEM
        return next(others, ordered[0] if ordered and may_repeat else None)

    def _lose_idle(self, key, connection):
        """Close an idle connection that can't be used any more."""
        is_fresh = connection.usable_until > self._clock()
        self._records.lost(
            key,
            reasons.NewConnection.CLOSED_BY_REPLICA
            if is_fresh
            else reasons.NewConnection.IDLE_EXPIRED,
        )
        connection.close()

    async def call(self, key, address, request, timeout_s, max_bytes):
        """Send a request; return the response's head and its whole body.

        A timeout also closes the idle connections of the peer: if it is
        unreachable, each of them would cost another timeout.

        Parameters
        ----------
        key : str
            Identifies the peer's process.
        address : options.Address
            The peer's address.
        request : messages.Request
            The request.
        timeout_s : float
            Time limit of the whole call, in seconds.
        max_bytes : int
            Limit of the response body.

        Returns
        -------
        tuple of messages.Reply and bytes

        Raises
        ------
        exceptions.BackendFailed
            With verdict ``NOT_RUN`` only if nothing was sent.
        """
        connection = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self.acquire(key, address)
                connection.send(
                    request.method,
                    request.target,
                    request.headers,
                    request.body,
                )
                reply = await connection.read_head()
                body = await connection.read_body(max_bytes)
        except BaseException as error:
            if connection:
                connection.close()
            if not isinstance(error, TimeoutError):
                raise
            self.forget(key)
            verdict = None if connection else verdicts.Verdict.NOT_RUN
            message = f"no response in {timeout_s:g} s"
            raise client.call_error(message, verdict=verdict) from error
        self.release(key, connection, reply)
        return reply, body

    def release(self, key, connection, reply):
        """Keep `connection` for another request, or close it.

        It is closed if the peer does not keep it open, or if
        `MAX_IDLE_PER_PEER` are idle already.
        """
        idle = self._idle_by_key[key]
        connection.on_close = None
        may_follow = connection.end_cycle(
            reply, self._clock(), self._default_keep_alive_s
        )
        if not may_follow or len(idle) >= MAX_IDLE_PER_PEER:
            self._records.lost(key, reasons.NewConnection.NOT_KEPT)
            connection.close()
            return
        idle.append(connection)
        connection.watch_idle(
            lambda connection: self._discard(key, connection)
        )

    def _discard(self, key, connection):
        idle = self._idle_by_key.get(key, ())
        if connection in idle:
            idle.remove(connection)
            self._lose_idle(key, connection)
        connection.close()

    def forget(self, key):
        """Close the idle connections of the peer `key`."""
        for connection in self._idle_by_key.pop(key, ()):
            self._records.lost(key, reasons.NewConnection.WAS_UNUSABLE)
            connection.close()

    def close(self):
        """Close all idle connections."""
        idle = list(itertools.chain.from_iterable(self._idle_by_key.values()))
        self._idle_by_key.clear()
        for connection in idle:
            connection.close()
