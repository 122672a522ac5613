"""What a server has read is answered, whatever ends its connections."""

import asyncio

from anvilwell_gateway.http import server as servers
from anvilwell_kernel.config import options
from anvilwell_kernel import exceptions
import pytest

HERE = options.Address("127.0.0.1", 0)
REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n"
WHOLE = REQUEST + b"x"
# Longer than any test takes.
LONG_S = 600.0


class _Site:
    """A server whose handler answers once it may, and one caller."""

    def __init__(self):
        self.may_answer = asyncio.Event()
        self.came = asyncio.Semaphore(0)
        self.server = servers.Server(HERE, self._answer)
        self.server.limits = servers.FIRST_LIMITS._replace(
            idle_timeout_s=LONG_S, header_timeout_s=LONG_S
        )

    async def _answer(self, request, responder):
        self.came.release()
        await self.may_answer.wait()
        await responder.send(200, (), request.body)

    async def connect(self):
        """Return a caller's streams; the server waits for its request."""
        known = len(self.server._connections)
        streams = await asyncio.open_connection("127.0.0.1", self.server.port)
        while len(self.server._connections) == known:
            await asyncio.sleep(0)
        return streams

    def feed(self, data):
        """Have the server read `data` at this very moment."""
        (connection,) = self.server._connections
        connection._reader.feed_data(data)


def _run(scenario, run=asyncio.run):
    async def main():
        site = _Site()
        await site.server.start()
        try:
            return await scenario(site)
        finally:
            await site.server.stop()

    return run(main())


def test_what_comes_as_the_idle_time_ends_is_answered(run_virtual):
    """Was read and thrown away: its caller saw the connection end.

    Time passes at once here when nothing else is to be done, so the timer
    and the request fall into one turn of the loop.
    """

    async def scenario(site):
        site.may_answer.set()
        site.server.limits = servers.FIRST_LIMITS
        reader, writer = await site.connect()
        writer.write(WHOLE)
        return await reader.readline()

    assert b" 200 " in _run(scenario, run_virtual)


def test_idle_connections_end_in_order():
    """A reset could reach a caller before an answer that it has not read."""

    async def scenario(site):
        reader, _ = await site.connect()
        await site.server.finish()
        return await reader.read()

    assert _run(scenario) == b""


def test_what_comes_as_the_server_finishes_is_answered():
    """Requests read after the last look were reset."""

    async def scenario(site):
        reader, _ = await site.connect()
        finishing = asyncio.create_task(site.server.finish())
        await asyncio.sleep(0)
        site.feed(WHOLE)
        await site.came.acquire()
        site.may_answer.set()
        await finishing
        return await reader.read()

    answer = _run(scenario)
    assert b" 200 " in answer
    assert b"Connection: close" in answer


def test_a_request_under_way_is_answered_before_the_server_has_finished():
    """Its connection would be ended with the idle ones."""

    async def scenario(site):
        reader, writer = await site.connect()
        writer.write(WHOLE)
        await site.came.acquire()
        finishing = asyncio.create_task(site.server.finish())
        await asyncio.sleep(0)
        site.may_answer.set()
        await finishing
        return await reader.read()

    assert b" 200 " in _run(scenario)


@pytest.mark.parametrize("rest", [b"x", b"x" + WHOLE])
def test_a_body_that_comes_while_the_server_finishes_is_taken(rest):
    """A request that had begun to come would be thrown away half read."""

    async def scenario(site):
        site.may_answer.set()
        reader, writer = await site.connect()
        writer.write(REQUEST)
        while not site.server.in_flight:
            await asyncio.sleep(0)
        finishing = asyncio.create_task(site.server.finish())
        await asyncio.sleep(0)
        writer.write(rest)
        await finishing
        return await reader.read()

    assert _run(scenario).count(b" 200 ") == rest.count(b"x")


def test_half_a_head_is_refused_as_the_server_finishes():
    """Its caller would not know that nothing ran."""

    async def scenario(site):
        reader, _ = await site.connect()
        site.feed(REQUEST[:9])
        await asyncio.sleep(0)
        await site.server.finish()
        return await reader.readline()

    assert b" 503 " in _run(scenario)


def test_requests_that_were_read_behind_another_are_answered():
    """`Connection: close` on the first answer threw the second away."""

    async def scenario(site):
        reader, writer = await site.connect()
        site.server.is_draining = True
        writer.write(WHOLE)
        await site.came.acquire()
        site.feed(WHOLE)
        site.may_answer.set()
        return await reader.read()

    answers = _run(scenario)
    assert answers.count(b" 200 ") == 2
    assert answers.count(b"Connection: close") == 1


@pytest.mark.parametrize(
    "error",
    [
        ConnectionResetError("a replica"),
        asyncio.CancelledError("a part that stops"),
        exceptions.Refused("nobody took it"),
    ],
)
def test_a_handler_that_fails_before_its_answer_is_answered_for(error):
    """Whatever looked like a fault of the caller's connection reset it."""

    async def scenario(site):
        site.may_answer.wait = _raise
        reader, writer = await site.connect()
        writer.write(WHOLE)
        return await reader.readline()

    async def _raise():
        raise error

    assert b" 500 " in _run(scenario)
