"""Tests that a response which ends in its head is never taken for whole."""

import asyncio
import contextlib

from anvilwell_gateway.http import client
from anvilwell_kernel.config import options
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts
import pytest

START = b"HTTP/1.1 200 OK\r\nX-Proof: s\r\n"
HEADS_BY_FRAMING = {
    "length": START + b"Content-Length: 12\r\n\r\n",
    "empty": START + b"Content-Length: 0\r\n\r\n",
    "chunks": START + b"Transfer-Encoding: chunked\r\n\r\n",
    "until-closed": START + b"Connection: close\r\n\r\n",
    "no-content": b"HTTP/1.1 204 No Content\r\nX-Proof: s\r\n\r\n",
    "after-interim": b"HTTP/1.1 103 Early Hints\r\n\r\n" + START + b"\r\n",
    "bare-line-feeds": b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
}


@contextlib.asynccontextmanager
async def _server_of(responses):
    """Serve one response after another, each on its own connection."""
    waiting = iter(responses)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(next(waiting))
        writer.write_eof()
        with contextlib.suppress(ConnectionError):
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield options.Address("127.0.0.1", server.sockets[0].getsockname()[1])
    finally:
        server.close()


async def _read_response(address):
    connection = await client.Connection.open(address, 5.0)
    try:
        connection.send("GET", "/", (("Host", "h"),))
        await connection.read_head()
        return await connection.read_body(1 << 20)
    finally:
        connection.close()


@pytest.mark.parametrize("framing", HEADS_BY_FRAMING)
def test_a_response_that_ends_in_its_head_is_cut(framing):
    """Guards against an empty or short body that looks whole."""
    head = HEADS_BY_FRAMING[framing]

    async def failures():
        cuts = range(1, len(head))
        async with _server_of([head[:cut] for cut in cuts]) as address:
            for _ in cuts:
                with pytest.raises(exceptions.BackendFailed) as caught:
                    await _read_response(address)
                yield caught.value

    async def run():
        return [(error.reason, error.verdict) async for error in failures()]

    assert set(asyncio.run(run())) == {
        (reasons.Refusal.ANSWER_CUT, verdicts.Verdict.MAY_HAVE_RUN)
    }
