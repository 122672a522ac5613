"""HTTP connections that notice an answer whose head is cut.

The standard library takes the end of the connection for the end of the
head. An answer without a body (a length of 0, 204) then looks whole.
"""

import http.client

from urllib3 import connection

_BLANK = (b"\r\n", b"\n")


class TruncatedHead(http.client.HTTPException):
    """The connection ended before the answer's head did."""


class _LastLineReader:
    """A file that remembers the line that was read last."""

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
            raise TruncatedHead("the head of the answer is cut")


class Connection(connection.HTTPConnection):
    """One that raises `TruncatedHead`."""

    response_class = _Response
