"""A cheroot server that rejects ambiguous HTTP requests.

A request that two servers could parse differently (two lengths, a length
and chunks, folded lines) is rejected, which prevents request smuggling
through the entry. Reading a request has a time limit, so that a slow
client cannot occupy a worker thread indefinitely.
"""

import queue
import re
import socket
import threading
import time
import traceback as tracebacks

from cheroot import server
from cheroot import wsgi

from anvilwell_kernel.telemetry import logs

_LOG = logs.get_logger(__name__)

_CONTENT_LENGTH = b"Content-Length"
_TRANSFER_ENCODING = b"Transfer-Encoding"
_SINGLE_VALUE_HEADERS = frozenset(
    (
        _CONTENT_LENGTH,
        _TRANSFER_ENCODING,
        b"Host",
        b"Content-Type",
        b"Authorization",
    )
)
_SINGLE_VALUE_PREFIXES = (b"Anvilwell-", b"Idempotency-")
_HEADER_LINE = re.compile(
    rb"[!#$%&'*+.^`|~0-9A-Za-z_-]+:[\t\x20-\x7e\x80-\xff]*\r\n"
)
_DEADLINE_CHECK_INTERVAL_S = 1.0
_MAX_DISCARDED_BYTES = 64 << 10


class _CheckedLines:
    """Reads the lines of a request head; raises on malformed ones."""

    def __init__(self, rfile):
        self._rfile = rfile

    def readline(self):
        line = self._rfile.readline()
        if line not in (b"", b"\r\n") and not _HEADER_LINE.fullmatch(line):
            raise ValueError("Illegal header line.")
        return line


class _HeaderReader(server.HeaderReader):
    """Reads headers and drops those with an underscore in the name.

    WSGI gives ``X_Y`` and ``X-Y`` the same key, so a client could forge
    one header by means of the other.
    """

    def __call__(self, rfile, hdict=None):
        return super().__call__(_CheckedLines(rfile), hdict)

    def _allow_header(self, key_name):
        return b"_" not in key_name


class _Headers(dict):
    """Headers by name; raises if two of them contradict each other."""

    def __setitem__(self, name, value):
        if name in self and name not in server.comma_separated_headers:
            value = self._join(name, value)
        super().__setitem__(name, value)
        if name == _CONTENT_LENGTH and not (
            value.isascii() and value.isdigit()
        ):
            raise ValueError("Malformed Content-Length Header.")
        if name == _TRANSFER_ENCODING and value.lower() != b"chunked":
            raise ValueError(
                "Only the chunked transfer encoding is supported."
            )
        if _CONTENT_LENGTH in self and _TRANSFER_ENCODING in self:
            raise ValueError("Content-Length and Transfer-Encoding together.")

    def _join(self, name, value):
        if name in _SINGLE_VALUE_HEADERS or name.startswith(
            _SINGLE_VALUE_PREFIXES
        ):
            raise ValueError(f"Header {name.decode()} is given twice.")
        return b", ".join((self[name], value))


class Request(server.HTTPRequest):
    """A request; the server's `refuse` renders its parsing errors."""

    header_reader = _HeaderReader()

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.inheaders = _Headers()
        self.has_timed_out = False

    def parse_request(self):
        """Read the request line and headers, within the time limit."""
        self.server.start_read_timer(self)
        try:
            super().parse_request()
        finally:
            if not self.ready:
                self.server.cancel_read_timer(self)

    def read_request_headers(self):
        """Read the headers; return whether the request can be handled."""
        if not super().read_request_headers():
            return False
        if _TRANSFER_ENCODING in self.inheaders and not self.chunked_read:
            self.simple_response("400 Bad Request", "Chunks need HTTP/1.1.")
            return False
        return True

    def respond(self):
        """Let the application answer, then cancel the read timer."""
        try:
            super().respond()
        finally:
            self.server.cancel_read_timer(self)

    def send_headers(self):
        """Send the head of the response."""
        # Trailers may follow the chunks, and what comes after them could be
        # smuggled, so the connection is not used for another request.
        self.close_connection = self.close_connection or self.chunked_read
        super().send_headers()

    def is_reading(self):
        """Return whether part of the head or body has yet to arrive."""
        if not self.ready:
            return True
        if self.chunked_read:
            return not getattr(self.rfile, "closed", False)
        return getattr(self.rfile, "remaining", 0) > 0

    def simple_response(self, status, msg=""):
        """Send an error with a JSON body and close the connection."""
        self.close_connection = True
        code = 408 if self.has_timed_out else int(str(status)[:3])
        self.status, headers, body = self.server.refuse(code, msg)
        self.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
        ]
        self.method = getattr(self, "method", b"GET")
        try:
            self.ensure_headers_sent()
            self.conn.wfile.write(body)
        except OSError:
            # The client has disconnected, so nobody receives the error.
            return


class _Connection(server.HTTPConnection):
    RequestHandlerClass = Request


class Server(wsgi.Server):
    """A WSGI server that rejects ambiguous and slow requests.

    Parameters
    ----------
    refuse : callable
        Takes a status code and a message; returns the error response as
        ``(status line as bytes, headers, body)``.
    read_limit_s : float
        Maximum time for reading the head and body of a request.
    """

    ConnectionClass = _Connection

    def __init__(self, address, application, *, refuse, read_limit_s, **more):
        super().__init__(address, application, **more)
        self.refuse = refuse
        self._read_limit_s = read_limit_s
        self._deadlines_by_request = {}
        self._stopped = threading.Event()

    def process_conn(self, conn):
        """Queue a connection with data for a worker; reject it if full."""
        try:
            self.requests.put(conn)
        except queue.Full:
            self._reject(conn)

    def start_read_timer(self, request):
        """Start the time limit for reading `request`."""
        deadline = time.monotonic() + self._read_limit_s
        self._deadlines_by_request[request] = deadline

    def cancel_read_timer(self, request):
        """Cancel the time limit for reading `request`."""
        self._deadlines_by_request.pop(request, None)

    def serve(self):
        """Serve requests until `stop` is called."""
        reaper = threading.Thread(target=self._abort_late_reads, daemon=True)
        reaper.start()
        super().serve()

    def stop(self):
        """Stop serving; wait up to `shutdown_timeout` for the workers."""
        self._stopped.set()
        super().stop()

    def error_log(self, msg="", level=20, traceback=False):
        """Write an error message of cheroot to the log."""
        trace = tracebacks.format_exc() if traceback else ""
        _LOG.log("server-error", message=msg, level=level, traceback=trace)

    def _reject(self, conn):
        # This runs on the thread that accepts connections, so it must not
        # block.
        conn.socket.setblocking(False)
        try:
            # If unread data were left in the socket, the operating system
            # would reset the connection and the client would not receive the
            # response.
            conn.socket.recv(_MAX_DISCARDED_BYTES)
        except OSError:
            # No data had arrived.
            _LOG.log("nothing-to-read")
        Request(self, conn).simple_response("503", "Too many connections.")
        conn.close()

    def _abort_late_reads(self):
        interval_s = min(_DEADLINE_CHECK_INTERVAL_S, self._read_limit_s / 4)
        while not self._stopped.wait(interval_s):
            now = time.monotonic()
            for request, deadline in list(self._deadlines_by_request.items()):
                if now > deadline and request.is_reading():
                    self._abort_read(request)

    def _abort_read(self, request):
        request.has_timed_out = True
        self.cancel_read_timer(request)
        try:
            request.conn.socket.shutdown(socket.SHUT_RD)
        except OSError:
            # The socket has been closed in the meantime.
            return
