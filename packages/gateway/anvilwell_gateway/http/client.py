"""A connection of an HTTP/1.1 client; requests are not pipelined."""

import asyncio
import contextlib
import socket

import h11

from anvilwell_gateway.http import messages
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts

# Limit of one read from the socket, in bytes.
READ_BYTES = 64 << 10
# The first part of a request body that is written with the head, in bytes. The
# rest follows in chunks of this size as the peer reads them, so that data
# which it has not read yet is in memory only once.
WRITE_BYTES = 256 << 10
# Limit of a response head, in bytes.
MAX_HEAD_BYTES = 64 << 10
# Limit on the interim responses (1xx) before a response.
MAX_INTERIM_RESPONSES = 8
# Number of events that are read from received bytes before other tasks run.
EVENTS_PER_TURN = 32
# Time limit for opening a connection, in seconds. A healthy peer accepts
# within a few round trips. TCP resends a lost SYN only after a second, so
# waiting longer seldom helps.
CONNECT_TIMEOUT_S = 0.5
# Idle connections are discarded this long before the peer would close them, in
# seconds.
KEEP_ALIVE_MARGIN_S = 1.0
# How long peers keep an idle connection if they send no Keep-Alive header,
# in seconds.
DEFAULT_KEEP_ALIVE_S = 4.0
_FIRST_ERROR_STATUS = 400
# Interval of TCP keepalive probes on an idle connection, in seconds.
_PROBE_INTERVAL_S = 1
# Time after which a connection fails whose peer acknowledges neither data nor
# probes, in seconds. Otherwise a watch on a broken path would hang for its
# whole 17 s. After that time a process learns of the change that it missed
# with the next renewal of its lease, so that it is current again within three
# seconds.
SILENCE_TIMEOUT_S = 2
_KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
    (
        socket.IPPROTO_TCP,
        socket.TCP_KEEPCNT,
        SILENCE_TIMEOUT_S // _PROBE_INTERVAL_S - 1,
    ),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        SILENCE_TIMEOUT_S * 1000,
    ),
)


def call_error(message, reason=reasons.Refusal.BACKEND_FAILED, verdict=None):
    """Return the `BackendFailed` for a call without a whole response.

    Parameters
    ----------
    message : str
        What went wrong.
    reason : reasons.Refusal, optional
        The reason that is reported to the caller.
    verdict : verdict.Verdict, optional
        Whether the request may have run; by default it may.
    """
    verdict = verdict or verdicts.Verdict.MAY_HAVE_RUN
    return exceptions.BackendFailed(message, reason=reason, verdict=verdict)


class Connection:
    """A connection to one peer, for one request at a time."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer
        self._conn = _new_h11_connection()
        self._idle_watch = None
        self._status = 0
        self._is_cut = False
        self._sent_events = ()
        self._sent_count = 0
        self._body_writer = None
        self._has_extra_response = False
        self._events_in_turn = 0
        # The id of the latest request, "" for a peer that is no replica.
        self.request_id = ""
        self.usable_until = 0.0
        # Called with the connection once it is closed while it is in use.
        self.on_close = None

    @classmethod
    async def open(
        cls, address, timeout_s=CONNECT_TIMEOUT_S, use_keepalive=False
    ):
        """Open a connection to `address`.

        Parameters
        ----------
        address : options.Address
            The peer's address.
        timeout_s : float
            Time limit, in seconds.
        use_keepalive : bool
            Whether the connection fails if the peer stops answering TCP
            keepalive probes.

        Raises
        ------
        exceptions.BackendFailed
            With verdict ``NOT_RUN``, as nothing was sent.
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
        """Write a whole request without waiting until it is sent."""
        # An empty body needs a Content-Length too, except for methods that
        # have no body.
        length = ("Content-Length", str(len(body)))
        headers = messages.without(headers, {"content-length"})
        if body or method not in ("GET", "HEAD", "DELETE"):
            headers = (*headers, length)
        head = h11.Request(
            method=method,
            target=target.encode("latin-1"),
            headers=messages.encode_headers(headers),
        )
        content = (h11.Data(data=body),) if body else ()
        self._sent_events = (head, *content, h11.EndOfMessage())
        self._sent_count += 1
        # With a Content-Length the body is sent as it is.
        sent_head, *_ = [self._conn.send(event) for event in self._sent_events]
        unsent = memoryview(body)
        self._writer.write(b"".join((sent_head, unsent[:WRITE_BYTES])))
        if len(unsent) > WRITE_BYTES:
            self._body_writer = asyncio.create_task(
                self._write_body(unsent[WRITE_BYTES:])
            )

    async def _write_body(self, unsent):
        """Write the rest of a body as fast as the peer reads it."""
        # A connection that breaks is noticed by the read of the response.
        with contextlib.suppress(OSError):
            for start in range(0, len(unsent), WRITE_BYTES):
                await self._writer.drain()
                self._writer.write(unsent[start : start + WRITE_BYTES])
            await self._writer.drain()

    @property
    def is_reused(self):
        """Whether the latest request was not the first on the connection."""
        return self._sent_count > 1

    async def read_head(self):
        """Return the response's head as a `messages.Reply`."""
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = messages.decode_headers(event.headers)
                self._status = event.status_code
                return messages.Reply(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                raise call_error("the response has no head")
        raise call_error("the response has too many interim heads")

    async def read_chunk(self):
        """Return the next bytes of the response body, b"" at its end."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b""
            if isinstance(event, h11.Data) and event.data:
                return bytes(event.data)

    async def read_body(self, max_bytes):
        """Return the rest of the response body, of at most `max_bytes`."""
        parts = []
        size = 0
        while part := await self.read_chunk():
            parts.append(part)
            size += len(part)
            if size > max_bytes:
                raise call_error(f"the response is over {max_bytes} bytes")
        return b"".join(parts)

    async def skip_response(self, max_bytes):
        """Discard the response whose head was read, so that another may come.

        For a response to an earlier request, which the peer sent before the
        response to the latest one. The connection is not kept afterwards.

        Parameters
        ----------
        max_bytes : int
            Limit of the discarded body.

        Raises
        ------
        exceptions.BackendFailed
            If the response is not whole, or if the connection ends with it.
        """
        self._has_extra_response = True
        await self.read_body(max_bytes)
        if self._conn.their_state is not h11.DONE:
            raise call_error("the connection ends before the response")
        following, is_closed = self._conn.trailing_data
        self._conn = _new_h11_connection()
        for event in self._sent_events:
            self._conn.send(event)
        if following:
            self._conn.receive_data(following)
        if is_closed:
            self._conn.receive_data(b"")

    async def _next_event(self):
        """Return the next event; let other tasks run every few events.

        A read from the socket does not wait while received bytes are
        buffered, so a peer that sends without end would hold the loop.
        """
        self._events_in_turn += 1
        if self._events_in_turn >= EVENTS_PER_TURN:
            self._events_in_turn = 0
            await asyncio.sleep(0)
        while True:
            try:
                event = self._conn.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._reader.read(READ_BYTES)
                self._conn.receive_data(data)
            except (h11.RemoteProtocolError, OSError) as error:
                self._is_cut = True
                raise call_error(
                    f"the response broke off: {error}",
                    reasons.Refusal.ANSWER_CUT,
                ) from error

    def end_cycle(self, reply, now, default_keep_alive_s=DEFAULT_KEEP_ALIVE_S):
        """Prepare for another request; return False if none may follow.

        Parameters
        ----------
        reply : messages.Reply
            The head of the response that was read; may hold Keep-Alive.
        now : float
            The current time, in seconds.
        default_keep_alive_s : float
            How long the peer keeps an idle connection if it sends no
            Keep-Alive header, in seconds.
        """
        conn = self._conn
        is_done = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        is_done &= self._body_writer is None or self._body_writer.done()
        if not is_done or conn.trailing_data[0] or self._has_extra_response:
            return False
        conn.start_next_cycle()
        self._sent_events = ()
        self._body_writer = None
        self._status = 0
        keep_alive_s = (
            _keep_alive_s(reply, default_keep_alive_s) - KEEP_ALIVE_MARGIN_S
        )
        self.usable_until = now + keep_alive_s
        return keep_alive_s > 0

    def watch_idle(self, on_event):
        """Call `on_event` if the idle peer closes or sends anything."""
        self._idle_watch = asyncio.create_task(self._wait_idle(on_event))

    async def stop_watching(self):
        """End the idle watch; return whether the peer sent nothing."""
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
        """Reset the connection, so that the peer stops its work."""
        if self._idle_watch:
            self._idle_watch.cancel()
        if self._body_writer:
            self._body_writer.cancel()
        self._writer.transport.abort()
        on_close, self.on_close = self.on_close, None
        if on_close:
            on_close(self)

    @property
    def close_reason(self):
        """The `reasons.NewConnection` of the next one, if closed in use."""
        if self._is_cut:
            return reasons.NewConnection.ANSWER_CUT
        if self._status >= _FIRST_ERROR_STATUS:
            return reasons.NewConnection.ANSWER_REFUSED
        return reasons.NewConnection.STOPPED


def _new_h11_connection():
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _keep_alive_s(reply, default_s):
    """Return how long the peer keeps an idle connection, in seconds."""
    stated = messages.find(reply.headers, "keep-alive")
    pairs = (part.strip().partition("=") for part in stated.split(","))
    values = [value for name, _, value in pairs if name == "timeout"]
    if values and values[0].isdecimal():
        return float(values[0])
    return default_s
