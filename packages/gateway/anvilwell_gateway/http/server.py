"""An HTTP/1.1 server on one address, with one task for each connection."""

import asyncio
import contextlib
import typing

from anvilwell_decisions.requests import byte_budget
from anvilwell_decisions.traffic import facts
import h11

from anvilwell_gateway.http import listening
from anvilwell_gateway.http import messages
from anvilwell_gateway.http import responder as responders
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs

# Limit of one read from the socket, in bytes.
READ_BYTES = 64 << 10
# Limit of the bytes of later requests that are buffered while one is served.
MAX_PIPELINED_BYTES = 256 << 10
# Retry-After of a 503 response that this module sends, in seconds.
BUSY_RETRY_AFTER_S = 0.3
# How long a caller whose body is refused may go on sending it, in seconds.
# Closing the connection at once would reset it, and the response could be
# lost.
LINGER_S = 2.0

_LOG = logs.get_logger(__name__)


# The limits for callers until the first configuration sets others.
FIRST_LIMITS = facts.CallerLimits(
    max_header_bytes=16 << 10,
    max_body_bytes=1 << 20,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


class BodyPolicy(typing.NamedTuple):
    """How the memory for the body of a request is reserved.

    ``copies`` is the memory that it takes as a multiple of its size,
    ``share`` the share of the budget that may be used up with it, and
    ``retry_after_s`` when to retry if it doesn't fit, in seconds.
    """

    copies: int = byte_budget.COPIES
    share: float = 1.0
    retry_after_s: float = BUSY_RETRY_AFTER_S


class CallerGone(exceptions.AnvilwellError):
    """The caller's connection was closed before the response was complete."""

    reason = reasons.Refusal.CANCELLED


class Server:
    """Listens on one address and handles the requests that arrive there.

    Parameters
    ----------
    address : options.Address
        The address to listen on.
    handle : callable
        Coroutine function of a `messages.Request` and a
        `responders.Responder`. It is
        cancelled if the caller closes its connection.
    listener : socket.socket, optional
        A socket that listens on the address already.
    budget : byte_budget.ByteBudget, optional
        Limits the bytes that are buffered for callers; may be shared with
        other servers.
    body_policy : callable, optional
        Returns the `BodyPolicy` for a `messages.Request` whose body has not
        been read; by default all have the same one.
    """

    def __init__(
        self, address, handle, listener=None, budget=None, body_policy=None
    ):
        self._address = address
        self.body_policy = body_policy or _default_body_policy
        self._handle = handle
        self._socket = listener
        self._listener = None
        self.budget = budget or byte_budget.ByteBudget()
        self._connections = set()
        self.limits = FIRST_LIMITS
        # Whether connections are closed after the response in progress.
        self.is_draining = False
        # Whether idle connections are closed at once.
        self.is_finishing = False

    @property
    def port(self):
        """The port that the server is bound to."""
        return self._listener.sockets[0].getsockname()[1]

    @property
    def in_flight(self):
        """The number of requests in progress."""
        return sum(one.is_serving for one in self._connections)

    async def start(self):
        """Bind to the address, or use the listener given, and accept."""
        bind_options = {"host": self._address.host, "port": self._address.port}
        if self._socket:
            bind_options = {"sock": self._socket}
        self._listener = await asyncio.start_server(
            self._accept,
            backlog=listening.BACKLOG,
            limit=READ_BYTES,
            **bind_options,
        )

    async def finish(self):
        """Answer all requests received, then close each connection cleanly.

        Takes as long as the handlers take and callers read the responses.
        """
        self.is_draining = self.is_finishing = True
        self._close_listener()
        for connection in self._connections:
            connection.end_idle()
        while self._connections:
            await asyncio.wait([one.task for one in self._connections])

    def _close_listener(self):
        if self._listener:
            self._listener.close()

    async def stop(self):
        """Stop listening and reset all connections."""
        self._close_listener()
        tasks = [one.task for one in self._connections]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        if self.is_finishing:
            # No part of a request was read, so no request is lost.
            writer.close()
            return
        connection = _Connection(self, self._handle, reader, writer)
        connection.task = asyncio.current_task()
        self._connections.add(connection)
        try:
            await connection.serve()
            writer.close()
            # Waits until the end of the response has been sent.
            await writer.wait_closed()
        except (
            ConnectionError,
            asyncio.CancelledError,
            exceptions.AnvilwellError,
        ):
            # Resets the connection, so that a partial response does not look
            # complete to the caller.
            writer.transport.abort()
        finally:
            self._connections.discard(connection)
            with contextlib.suppress(ConnectionError):
                writer.close()


class _Connection:
    """One caller's connection."""

    def __init__(self, server, handle, reader, writer):
        self._server = server
        self._handle = handle
        self._reader = reader
        self._writer = writer
        self._held_bytes = 0
        # The timeout of the read in progress, if there is one.
        self._read_timeout = None
        self.is_serving = False
        self.task = None
        self._conn = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server.limits.max_header_bytes,
        )

    async def serve(self):
        """Serve requests until either side closes the connection."""
        try:
            while await self._serve_one():
                self._conn.start_next_cycle()
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or 400
            await self._refuse(status, str(error))
        finally:
            self._server.budget.release(self._held_bytes)

    def end_idle(self):
        """Stop waiting for a request, unless one is being served."""
        is_waiting = self._read_timeout and not self._read_timeout.expired()
        if is_waiting and not self.is_serving:
            self._read_timeout.reschedule(asyncio.get_running_loop().time())

    async def _serve_one(self):
        """Serve one request; return whether another may follow."""
        head = await self._read_head()
        if head is None:
            return False
        received_at = asyncio.get_running_loop().time()
        self.is_serving = True
        try:
            request = messages.Request(
                head.method.decode("ascii"),
                head.target.decode("latin-1"),
                messages.decode_headers(head.headers),
                b"",
                received_at,
                self._caller(),
            )
            body = await self._read_body(request)
            if body is None:
                return False
            await self._run(request._replace(body=body))
        finally:
            self.is_serving = False
            self._server.budget.release(self._held_bytes)
            self._held_bytes = 0
        return (
            self._conn.our_state is h11.DONE
            and self._conn.their_state is h11.DONE
        )

    def _caller(self):
        """Return the caller's IP address, "" if unknown."""
        peer = self._writer.get_extra_info("peername")
        return peer[0] if peer else ""

    async def _read_head(self):
        """Return the head of the next request, or None if there is none."""
        limits = self._server.limits
        timeout_s = limits.idle_timeout_s
        while True:
            event = self._conn.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            has_begun = bool(self._conn.trailing_data[0])
            if has_begun:
                timeout_s = limits.header_timeout_s
            if self._server.is_finishing:
                timeout_s = 0.0
            if not await self._receive(timeout_s):
                if has_begun:
                    await self._refuse_head()
                return None

    async def _refuse_head(self):
        if self._server.is_finishing:
            await self._refuse(503, "this process is stopping")
        else:
            await self._refuse(408, "timeout while reading the request head")

    async def _read_body(self, request):
        """Return the body of `request`, or None if it was refused.

        If the head states the length of the body, it is refused before any
        of it is read.
        """
        policy = self._server.body_policy(request)
        length = messages.find(request.headers, "content-length")
        stated_bytes = int(length) if length.isdecimal() else 0
        if not await self._reserve(stated_bytes, stated_bytes, policy):
            return None
        if self._conn.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._conn.send(go_on))
        content = bytearray()
        while True:
            event = self._conn.next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(content)
            if isinstance(event, h11.Data):
                added_bytes = 0 if stated_bytes else len(event.data)
                if not await self._reserve(
                    added_bytes, len(content) + added_bytes, policy
                ):
                    return None
                content += event.data
            elif event is h11.NEED_DATA:
                if not await self._receive(self._server.limits.idle_timeout_s):
                    return await self._refuse(
                        408, "timeout while reading the request body"
                    )
            else:
                return None

    async def _reserve(self, byte_count, body_bytes, policy):
        """Reserve memory for a part of a body, or refuse the request.

        Parameters
        ----------
        byte_count : int
            Size of the part, in bytes.
        body_bytes : int
            Size of the body, as far as it is known, in bytes.
        policy : BodyPolicy
            How its memory is reserved.

        Returns
        -------
        bool
            Whether the request goes on.
        """
        budget = self._server.budget
        if body_bytes > self._server.limits.max_body_bytes or not budget.fits(
            policy.copies * body_bytes, policy.share
        ):
            await self._refuse(413, "the request body is too large")
        elif not budget.try_hold(policy.copies * byte_count, policy.share):
            counters.count_refusal(reasons.Refusal.NO_MEMORY)
            await self._refuse(
                503,
                "the budget for buffered bytes is used up",
                policy.retry_after_s,
            )
        else:
            self._held_bytes += policy.copies * byte_count
            return True
        await self._discard_input()
        return False

    async def _discard_input(self):
        """Read what the caller still sends after a refusal, and drop it."""
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(LINGER_S):
                while await self._reader.read(READ_BYTES):
                    pass

    async def _receive(self, timeout_s):
        """Feed received bytes to the parser; return False on a timeout."""
        try:
            async with asyncio.timeout(timeout_s) as self._read_timeout:
                data = await self._reader.read(READ_BYTES)
        except TimeoutError:
            data = await self._read_pending()
            if not data:
                return False
        finally:
            self._read_timeout = None
        self._conn.receive_data(data)
        return True

    async def _read_pending(self):
        """Return bytes that arrived as the timeout expired; stop reading.

        Bytes that were read but not handled would be lost when the
        connection is closed, without any sign to the caller.
        """
        self._writer.transport.pause_reading()
        try:
            async with asyncio.timeout(0):
                data = await self._reader.read(READ_BYTES)
        except TimeoutError:
            return b""
        self._writer.transport.resume_reading()
        return data

    async def _run(self, request):
        responder = responders.Responder(
            self._conn, self._writer, self._must_close, self._server.budget
        )
        handler = asyncio.create_task(self._handle(request, responder))
        watcher = asyncio.create_task(self._watch())
        try:
            await asyncio.wait(
                (handler, watcher), return_when=asyncio.FIRST_COMPLETED
            )
            if not handler.done():
                raise CallerGone("the caller closed its connection")
            await self._take_result(handler, responder)
        finally:
            for task in (handler, watcher):
                task.cancel()
            await asyncio.gather(handler, watcher, return_exceptions=True)

    @staticmethod
    async def _take_result(handler, responder):
        """Send 500 if the handler failed, or raise if a response has begun."""
        error = _handler_error(handler)
        if error is None:
            return
        is_known = isinstance(
            error, exceptions.AnvilwellError | ConnectionError
        )
        if responder.has_started and is_known:
            raise error
        _LOG.log("handler-failed", cause=repr(error))
        if responder.has_started:
            raise CallerGone("the response can't be completed") from error
        await responder.send(500)

    async def _watch(self):
        """Return once the caller has closed its connection."""
        waiting = 0
        while waiting < MAX_PIPELINED_BYTES:
            try:
                data = await self._reader.read(READ_BYTES)
            except ConnectionError:
                return
            if not data:
                return
            waiting += len(data)
            self._conn.receive_data(data)
        await asyncio.get_running_loop().create_future()

    async def _must_close(self):
        """Return whether the connection closes after this response.

        It stays open while it holds another request that was read already.
        """
        if not self._server.is_draining:
            return False
        # Lets `_watch` read the bytes that have arrived.
        await asyncio.sleep(0)
        return not self._conn.trailing_data[0]

    async def _refuse(self, status, cause, retry_after_s=BUSY_RETRY_AFTER_S):
        _LOG.log("request-refused", status=status, cause=cause)
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return None
        self._writer.transport.resume_reading()
        responder = responders.Responder(
            self._conn, self._writer, _always_close, self._server.budget
        )
        headers = ()
        if status == 503:
            headers = (("Retry-After", str(retry_after_s)),)
        await responder.send(status, headers)
        return None


def _handler_error(task):
    """Return the exception of a finished task, or None."""
    if task.cancelled():
        return asyncio.CancelledError("the handler was cancelled")
    return task.exception()


async def _always_close():
    return True


def _default_body_policy(request):
    return BodyPolicy()
