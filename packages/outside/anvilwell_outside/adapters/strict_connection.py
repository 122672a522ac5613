"""HTTP connections that detect a response whose head is truncated.

The standard library treats the end of the connection as the end of the
headers. A truncated response without a body (length 0 or status 204) would
then look complete.
"""

import http.client

from urllib3 import connection

_BLANK = (b"\r\n", b"\n")


class TruncatedHead(http.client.HTTPException):
    """The connection ended before the end of the response's headers."""


class _LastLineReader:
    """Wraps a file and keeps the line that was read last."""

    def __init__(self, file):
        self.file = file
        self.line = b""

    def readline(self, *args):
        self.line = self.file.readline(*args)
        return self.line

    def close(self):
        self.file.close()


class _Response(http.client.HTTPResponse):
    def begin(self):
        if self.headers is not None:
            return
        lines = self.fp = _LastLineReader(self.fp)
        try:
            super().begin()
        finally:
            if self.fp is lines:
                self.fp = lines.file
        if lines.line not in _BLANK:
            raise TruncatedHead("the response's headers are truncated")


class Connection(connection.HTTPConnection):
    """A connection that raises `TruncatedHead` on truncated headers."""

    response_class = _Response
