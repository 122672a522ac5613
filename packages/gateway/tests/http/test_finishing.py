"""Tests that requests the server has read are answered as it stops.

Guards against requests that are lost when a timeout, a drain or a fault of
the handler ends their connection.
"""

import asyncio

from anvilwell_gateway.http import server as servers
from anvilwell_kernel.config import options
from anvilwell_kernel import exceptions
import pytest

LOCAL_ADDRESS = options.Address("127.0.0.1", 0)
PARTIAL_REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n"
WHOLE_REQUEST = PARTIAL_REQUEST + b"x"
# A timeout that never expires in a test, in seconds.
LONG_S = 600.0


class _Harness:
    """A server whose handler waits for `may_answer`, and one caller."""

    def __init__(self):
        self.may_answer = asyncio.Event()
        self.received = asyncio.Semaphore(0)
        self.server = servers.Server(LOCAL_ADDRESS, self._answer)
        self.server.limits = servers.FIRST_LIMITS._replace(
            idle_timeout_s=LONG_S, header_timeout_s=LONG_S
        )

    async def _answer(self, request, responder):
        self.received.release()
        await self.may_answer.wait()
        await responder.send(200, (), request.body)

    async def connect(self):
        """Connect a caller; return its streams once the server accepted it."""
        known = len(self.server._connections)
        streams = await asyncio.open_connection("127.0.0.1", self.server.port)
        while len(self.server._connections) == known:
            await asyncio.sleep(0)
        return streams

    def feed(self, data):
        """Add `data` to what the server has received, at once."""
        (connection,) = self.server._connections
        connection._reader.feed_data(data)


def _run(scenario, run=asyncio.run):
    async def main():
        harness = _Harness()
        await harness.server.start()
        try:
            return await scenario(harness)
        finally:
            await harness.server.stop()

    return run(main())


def test_a_request_that_arrives_as_the_idle_timeout_expires_is_answered(
    run_virtual,
):
    """Guards against a request that is read and dropped with its connection.

    Virtual time advances at once when no callback is ready, so the timeout
    and the request fall into the same iteration of the loop.
    """

    async def scenario(harness):
        harness.may_answer.set()
        harness.server.limits = servers.FIRST_LIMITS
        reader, writer = await harness.connect()
        writer.write(WHOLE_REQUEST)
        return await reader.readline()

    assert b" 200 " in _run(scenario, run_virtual)


def test_idle_connections_are_closed_without_a_reset():
    """Guards against a reset that overtakes a response not read yet."""

    async def scenario(harness):
        reader, _ = await harness.connect()
        await harness.server.finish()
        return await reader.read()

    assert _run(scenario) == b""


def test_a_request_that_arrives_as_the_server_finishes_is_answered():
    """Guards against resetting a request read after the check for idleness."""

    async def scenario(harness):
        reader, _ = await harness.connect()
        finishing = asyncio.create_task(harness.server.finish())
        await asyncio.sleep(0)
        harness.feed(WHOLE_REQUEST)
        await harness.received.acquire()
        harness.may_answer.set()
        await finishing
        return await reader.read()

    answer = _run(scenario)
    assert b" 200 " in answer
    assert b"Connection: close" in answer


def test_a_request_in_progress_is_answered_before_the_server_finishes():
    """Guards against closing its connection together with the idle ones."""

    async def scenario(harness):
        reader, writer = await harness.connect()
        writer.write(WHOLE_REQUEST)
        await harness.received.acquire()
        finishing = asyncio.create_task(harness.server.finish())
        await asyncio.sleep(0)
        harness.may_answer.set()
        await finishing
        return await reader.read()

    assert b" 200 " in _run(scenario)


@pytest.mark.parametrize("rest", [b"x", b"x" + WHOLE_REQUEST])
def test_a_body_that_arrives_while_the_server_finishes_is_read(rest):
    """Guards against dropping a request that has been read in part."""

    async def scenario(harness):
        harness.may_answer.set()
        reader, writer = await harness.connect()
        writer.write(PARTIAL_REQUEST)
        while not harness.server.in_flight:
            await asyncio.sleep(0)
        finishing = asyncio.create_task(harness.server.finish())
        await asyncio.sleep(0)
        writer.write(rest)
        await finishing
        return await reader.read()

    assert _run(scenario).count(b" 200 ") == rest.count(b"x")


def test_a_partial_head_is_refused_as_the_server_finishes():
    """Guards against a caller that can't tell that its request did not run."""

    async def scenario(harness):
        reader, _ = await harness.connect()
        harness.feed(PARTIAL_REQUEST[:9])
        await asyncio.sleep(0)
        await harness.server.finish()
        return await reader.readline()

    assert b" 503 " in _run(scenario)


def test_pipelined_requests_are_answered_while_draining():
    """Guards against `Connection: close` on the first of two responses.

    It would drop the second request, which the server has read already.
    """

    async def scenario(harness):
        reader, writer = await harness.connect()
        harness.server.is_draining = True
        writer.write(WHOLE_REQUEST)
        await harness.received.acquire()
        harness.feed(WHOLE_REQUEST)
        harness.may_answer.set()
        return await reader.read()

    answers = _run(scenario)
    assert answers.count(b" 200 ") == 2
    assert answers.count(b"Connection: close") == 1


@pytest.mark.parametrize(
    "error",
    [
        ConnectionResetError("a replica"),
        asyncio.CancelledError("a component that stops"),
        exceptions.Refused("not caught by the handler"),
    ],
)
def test_a_handler_that_fails_before_its_response_answers_500(error):
    """Guards against taking a handler's error for one of the caller.

    Errors of these types also come from the caller's connection, which is
    then reset without a response.
    """

    async def scenario(harness):
        harness.may_answer.wait = _raise
        reader, writer = await harness.connect()
        writer.write(WHOLE_REQUEST)
        return await reader.readline()

    async def _raise():
        raise error

    assert b" 500 " in _run(scenario)
