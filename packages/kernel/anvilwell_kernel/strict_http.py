"""A cheroot server that takes only requests with a single meaning.

A request that two servers could read differently (two lengths, a length
and chunks, folded lines) is refused, so that none can be smuggled past
the entry. Reading a request has a time limit, so that a slow client
can't hold a worker thread for ever.
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
    """Lines of a request's head; raises on those that may mislead."""

    def __init__(self, rfile):
        self._rfile = rfile

    def readline(self):
        line = self._rfile.readline()
        if line not in (b"", b"\r\n") and not _HEADER_LINE.fullmatch(line):
            raise ValueError("Illegal header line.")
        return line


class _HeaderReader(server.HeaderReader):
    """Reads headers; ``X_Y`` is dropped, WSGI can't tell it from ``X-Y``."""

    def __call__(self, rfile, hdict=None):
        return super().__call__(_CheckedLines(rfile), hdict)

    def _allow_header(self, key_name):
        return b"_" not in key_name


class _Headers(dict):
    """Headers by name; raises on contradictions."""

    def __setitem__(self, name, value):
        if name in self and name not in server.comma_separated_headers:
            value = self._join(name, value)
        super().__setitem__(name, value)
        if name == _CONTENT_LENGTH and not (
            value.isascii() and value.isdigit()
        ):
            raise ValueError("Malformed Content-Length Header.")
        if name == _TRANSFER_ENCODING and value.lower() != b"chunked":
            raise ValueError("Only the chunked transfer encoding is known.")
        if _CONTENT_LENGTH in self and _TRANSFER_ENCODING in self:
            raise ValueError("Content-Length and Transfer-Encoding together.")

    def _join(self, name, value):
        if name in _SINGLE_VALUE_HEADERS or name.startswith(
            _SINGLE_VALUE_PREFIXES
        ):
            raise ValueError(f"Header {name.decode()} is given twice.")
        return b", ".join((self[name], value))


class Request(server.HTTPRequest):
    """One request; errors found here are told by the server's `refuse`."""

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
        """Read the headers; return whether they are acceptable."""
        if not super().read_request_headers():
            return False
        if _TRANSFER_ENCODING in self.inheaders and not self.chunked_read:
            self.simple_response("400 Bad Request", "Chunks need HTTP/1.1.")
            return False
        return True

    def respond(self):
        """Have the application answer."""
        try:
            super().respond()
        finally:
            self.server.cancel_read_timer(self)

    def send_headers(self):
        """Send the head of the answer."""
        # Trailers may follow the chunks: nothing after them is trusted.
        self.close_connection = self.close_connection or self.chunked_read
        super().send_headers()

    def is_reading(self):
        """Return whether head or body are still to come."""
        if not self.ready:
            return True
        if self.chunked_read:
            return not getattr(self.rfile, "closed", False)
        return getattr(self.rfile, "remaining", 0) > 0

    def simple_response(self, status, msg=""):
        """Refuse the request with a typed body; close the connection."""
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
            # The client has gone; there is nobody to tell.
            return


class _Connection(server.HTTPConnection):
    RequestHandlerClass = Request


class Server(wsgi.Server):
    """A WSGI server of strict requests.

    Parameters
    ----------
    refuse : callable
        Takes a status code and a message, returns ``(status line as
        bytes, headers, body)`` of the refusal.
    read_limit_s : float
        Longest time that head and body of a request may take.
    """

    ConnectionClass = _Connection

    def __init__(self, address, application, *, refuse, read_limit_s, **more):
        super().__init__(address, application, **more)
        self.refuse = refuse
        self._read_limit_s = read_limit_s
        self._deadlines_by_request = {}
        self._stopped = threading.Event()

    def process_conn(self, conn):
        """Give a readable connection to a worker, or refuse it at once."""
        try:
            self.requests.put(conn)
        except queue.Full:
            self._reject(conn)

    def start_read_timer(self, request):
        """Begin the time limit of `request`."""
        deadline = time.monotonic() + self._read_limit_s
        self._deadlines_by_request[request] = deadline

    def cancel_read_timer(self, request):
        """End the time limit of `request`."""
        self._deadlines_by_request.pop(request, None)

    def serve(self):
        """Serve until stopped."""
        reaper = threading.Thread(target=self._abort_late_reads, daemon=True)
        reaper.start()
        super().serve()

    def stop(self):
        """Stop serving; worker threads get `shutdown_timeout`."""
        self._stopped.set()
        super().stop()

    def error_log(self, msg="", level=20, traceback=False):
        """Write what cheroot has to say to the log."""
        trace = tracebacks.format_exc() if traceback else ""
        _LOG.log("server-error", message=msg, level=level, traceback=trace)

    def _reject(self, conn):
        # This is the accepting thread: nothing here may wait.
        conn.socket.setblocking(False)
        try:
            # Unread data would have the kernel reset the refusal.
            conn.socket.recv(_MAX_DISCARDED_BYTES)
        except OSError:
            # There was none after all.
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
            # It was closed in the meantime.
            return
