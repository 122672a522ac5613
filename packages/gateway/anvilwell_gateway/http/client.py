"""Calls over HTTP/1.1: one request at a time on each connection."""

import asyncio
import collections
import contextlib
import itertools
import socket

import h11

from anvilwell_gateway.http import messages
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts

READ_BYTES = 64 << 10
MAX_HEAD_BYTES = 64 << 10
# A healthy peer accepts within a few round trips; a lost opening packet
# is sent again after a second, so waiting longer seldom helps.
CONNECT_TIMEOUT_S = 0.5
# Kept connections are dropped this long before the peer would.
KEEP_ALIVE_MARGIN_S = 1.0
# For peers that do not say how long they keep an idle connection.
DEFAULT_KEEP_ALIVE_S = 4.0
MAX_IDLE_PER_PEER = 32
# A connection whose peer answers no probe is broken after three seconds:
# a waiting watch would otherwise hang for its 17 s on a path that is cut.
_KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    # In milliseconds: the same for bytes that nobody acknowledges.
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
)


def call_error(message, reason=reasons.Refusal.BACKEND_FAILED, verdict=None):
    """Return the error of a call that brought no whole answer."""
    verdict = verdict or verdicts.Verdict.MAY_HAVE_RUN
    return exceptions.BackendFailed(message, reason=reason, verdict=verdict)


class Connection:
    """One connection to one peer."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer
        self._conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._idle_watch = None
        self.usable_until = 0.0

    @classmethod
    async def open(
        cls, address, timeout_s=CONNECT_TIMEOUT_S, use_keepalive=False
    ):
        """Connect to `address`; a probed peer may not go silent.

        Raises
        ------
        exceptions.BackendFailed
            With verdict ``NOT_RUN``: nothing was sent.
        """
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port, limit=READ_BYTES
                )
        except (OSError, TimeoutError) as error:
            raise call_error(
                f"no connection to {address}: {error!r}",
                reasons.Refusal.CONNECT_FAILED,
                verdicts.Verdict.NOT_RUN,
            ) from error
        if use_keepalive:
            probed = writer.get_extra_info("socket")
            for option in _KEEPALIVE_OPTIONS:
                probed.setsockopt(*option)
        return cls(reader, writer)

    def send(self, method, target, headers, body=b""):
        """Write a whole request; its answer may come before its end."""
        # A peer is owed a length, also for an empty body.
        length = ("Content-Length", str(len(body)))
        headers = messages.without(headers, {"content-length"})
        if body or method not in ("GET", "HEAD", "DELETE"):
            headers = (*headers, length)
        head = h11.Request(
            method=method,
            target=target.encode("latin-1"),
            headers=messages.encode_headers(headers),
        )
        events = [head, h11.Data(data=body)] if body else [head]
        parts = [self._conn.send(one) for one in events]
        self._writer.write(
            b"".join([*parts, self._conn.send(h11.EndOfMessage())])
        )

    async def read_head(self):
        """Return the `messages.Reply` that begins the answer."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = messages.decode_headers(event.headers)
                return messages.Reply(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise call_error("the answer has no head")

    async def read_chunk(self):
        """Return the next bytes of the body, b"" at its end."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b""
            if isinstance(event, h11.Data) and event.data:
                return bytes(event.data)

    async def read_body(self, max_bytes):
        """Return the rest of the body, of at most `max_bytes`."""
        parts = []
        size = 0
        while part := await self.read_chunk():
            parts.append(part)
            size += len(part)
            if size > max_bytes:
                raise call_error(f"the answer is over {max_bytes} bytes")
        return b"".join(parts)

    async def _next_event(self):
        while True:
            try:
                event = self._conn.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._reader.read(READ_BYTES)
                self._conn.receive_data(data)
            except (h11.RemoteProtocolError, OSError) as error:
                raise call_error(
                    f"the answer is broken: {error}",
                    reasons.Refusal.ANSWER_CUT,
                ) from error

    def end_cycle(self, reply, now, default_keep_alive_s=DEFAULT_KEEP_ALIVE_S):
        """Get ready for another request; return whether it may come."""
        conn = self._conn
        is_done = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        if not is_done or conn.trailing_data[0]:
            return False
        conn.start_next_cycle()
        keep_alive_s = (
            _keep_alive_s(reply, default_keep_alive_s) - KEEP_ALIVE_MARGIN_S
        )
        self.usable_until = now + keep_alive_s
        return keep_alive_s > 0

    def watch_idle(self, on_event):
        """Call `on_event` if the peer closes or says anything unasked."""
        self._idle_watch = asyncio.create_task(self._wait_idle(on_event))

    async def stop_watching(self):
        """End the idle watch; return whether the peer stayed silent."""
        watch, self._idle_watch = self._idle_watch, None
        if watch is None:
            return True
        was_silent = not watch.done()
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)
        return was_silent

    async def _wait_idle(self, on_event):
        with contextlib.suppress(OSError):
            await self._reader.read(1)
        on_event(self)

    def close(self):
        """Close at once; the peer sees that nobody waits any more."""
        if self._idle_watch:
            self._idle_watch.cancel()
        self._writer.transport.abort()


def _keep_alive_s(reply, default_s):
    """Return how long the peer keeps the connection when idle."""
    stated = messages.find(reply.headers, "keep-alive")
    pairs = (part.strip().partition("=") for part in stated.split(","))
    values = [value for name, _, value in pairs if name == "timeout"]
    if values and values[0].isdecimal():
        return float(values[0])
    return default_s


class Pool:
    """Keeps idle connections by peer.

    A peer's key names its process, not only its address, so that no
    connection outlives the process that it was opened to.

    Parameters
    ----------
    clock : callable
        Returns monotonic time, in seconds.
    use_keepalive : bool
        Whether peers are probed while they are silent. Those that may
        stand still and then go on with a request must not be.
    default_keep_alive_s : float
        How long peers that do not say so keep an idle connection, in
        seconds.
    """

    def __init__(
        self,
        clock,
        use_keepalive=False,
        default_keep_alive_s=DEFAULT_KEEP_ALIVE_S,
    ):
        self._clock = clock
        self._use_keepalive = use_keepalive
        self._default_keep_alive_s = default_keep_alive_s
        self._idle_by_key = collections.defaultdict(collections.deque)

    async def acquire(self, key, address, timeout_s=CONNECT_TIMEOUT_S):
        """Return an idle connection of `key`, or a new one."""
        idle = self._idle_by_key[key]
        while idle:
            connection = idle.pop()
            is_fresh = connection.usable_until > self._clock()
            if await connection.stop_watching() and is_fresh:
                return connection
            connection.close()
        return await Connection.open(address, timeout_s, self._use_keepalive)

    async def call(self, key, address, request, timeout_s, max_bytes):
        """Send a `messages.Request`; return its `Reply` and whole body.

        After a timeout the idle connections go too: those of a peer that
        is cut off stay silent, and each would cost another timeout.

        Raises
        ------
        exceptions.BackendFailed
            With ``NOT_RUN`` only if nothing was sent.
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
            message = f"no answer in {timeout_s:g} s"
            raise call_error(message, verdict=verdict) from error
        self.release(key, connection, reply)
        return reply, body

    def release(self, key, connection, reply):
        """Keep `connection` for another request if its peer will."""
        idle = self._idle_by_key[key]
        may_follow = connection.end_cycle(
            reply, self._clock(), self._default_keep_alive_s
        )
        if not may_follow or len(idle) >= MAX_IDLE_PER_PEER:
            connection.close()
            return
        idle.append(connection)
        connection.watch_idle(
            lambda connection: self._discard(key, connection)
        )

    def _discard(self, key, connection):
        with contextlib.suppress(ValueError):
            self._idle_by_key[key].remove(connection)
        connection.close()

    def forget(self, key):
        """Close the idle connections of `key`."""
        for connection in self._idle_by_key.pop(key, ()):
            connection.close()

    def close(self):
        """Close all idle connections."""
        idle = list(itertools.chain.from_iterable(self._idle_by_key.values()))
        self._idle_by_key.clear()
        for connection in idle:
            connection.close()
