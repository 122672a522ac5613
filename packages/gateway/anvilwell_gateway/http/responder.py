"""Sends the response to one request of a caller."""

import h11

from anvilwell_gateway.http import messages

# A response body is written in chunks of this size, in bytes, so that data
# which the caller has not read yet is in memory only once.
WRITE_BYTES = 64 << 10


class Responder:
    """Sends the response to one request."""

    def __init__(self, conn, writer, must_close, budget):
        self._conn = conn
        self._writer = writer
        self._must_close = must_close
        self._budget = budget
        self.status = 0

    @property
    def has_started(self):
        """Whether the response head has been sent."""
        return self.status != 0

    async def send(self, status, headers=(), body=b""):
        """Send a whole response."""
        length = ("Content-Length", str(len(body)))
        kept = messages.without(headers, {"content-length"})
        await self.start(status, (*kept, length))
        if body:
            await self.write(body)
        await self.finish()

    async def start(self, status, headers):
        """Send the head; without Content-Length the body is sent chunked."""
        if await self._must_close():
            headers = (*headers, ("Connection", "close"))
        self.status = status
        head = h11.Response(
            status_code=status, headers=messages.encode_headers(headers)
        )
        self._writer.write(self._conn.send(head))

    async def write(self, data):
        """Write a part of the body and wait until the transport accepts it.

        Until then its bytes count against the budget.
        """
        self._budget.hold(len(data))
        unwritten = len(data)
        try:
            for start in range(0, len(data), WRITE_BYTES):
                part = data[start : start + WRITE_BYTES]
                self._writer.write(self._conn.send(h11.Data(data=part)))
                await self._writer.drain()
                self._budget.release(len(part))
                unwritten -= len(part)
        finally:
            self._budget.release(unwritten)

    async def finish(self):
        """Send the end of the response."""
        end = self._conn.send(h11.EndOfMessage())
        if end:
            self._writer.write(end)
        await self._writer.drain()
