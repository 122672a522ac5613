"""Tests how responses that callers have not read count as buffered."""

import asyncio

from anvilwell_decisions.requests import byte_budget
from anvilwell_gateway.http import server as servers
from anvilwell_kernel.config import options
import pytest

# Larger than the buffers of the sockets and transports together.
RESPONSE_BODY = bytes(16 << 20)
LOCAL_ADDRESS = options.Address("127.0.0.1", 0)
GET_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
POST_REQUEST = (
    b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nsome body"
)


def _run(scenario):
    async def run():
        budget = byte_budget.ByteBudget(len(RESPONSE_BODY))

        async def answer(request, responder):
            body = RESPONSE_BODY if request.method == "GET" else b""
            await responder.send(200, (), body)

        server = servers.Server(LOCAL_ADDRESS, answer, None, budget)
        await server.start()
        try:
            await scenario(server, budget)
        finally:
            await server.stop()
        assert budget.held_bytes == 0

    asyncio.run(run())


async def _send(server, request):
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(request)
    await writer.drain()
    return reader, writer


def test_a_response_counts_as_buffered_until_it_is_read():
    async def scenario(server, budget):
        reader, writer = await _send(server, GET_REQUEST)
        while not budget.held_bytes:
            await asyncio.sleep(0.01)
        assert await reader.readexactly(len(RESPONSE_BODY))
        while budget.held_bytes:
            await asyncio.sleep(0.01)
        writer.close()

    _run(scenario)


def test_bodies_are_refused_while_the_budget_is_used_up():
    async def scenario(server, budget):
        budget.hold(budget.total_bytes)
        reader, writer = await _send(server, POST_REQUEST)
        assert b" 503 " in await reader.readline()
        budget.release(budget.total_bytes)
        writer.close()
        reader, writer = await _send(server, POST_REQUEST)
        assert b" 200 " in await reader.readline()
        writer.close()

    _run(scenario)


def test_a_caller_that_disconnects_releases_its_bytes():
    async def scenario(server, budget):
        _, writer = await _send(server, GET_REQUEST)
        while not budget.held_bytes:
            await asyncio.sleep(0.01)
        writer.transport.abort()
        while budget.held_bytes:
            await asyncio.sleep(0.01)

    _run(scenario)


def test_a_request_without_a_body_is_served_over_the_budget():
    """Guards against refusing reads while responses use up the memory."""

    async def scenario(server, budget):
        held_bytes = budget.total_bytes + 1
        budget.hold(held_bytes)
        reader, writer = await _send(
            server, b"DELETE / HTTP/1.1\r\nHost: h\r\n\r\n"
        )
        assert b" 200 " in await reader.readline()
        writer.close()
        budget.release(held_bytes)

    _run(scenario)


def _post_head(size):
    return f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n"


@pytest.mark.parametrize(
    ("size", "status"),
    [
        # Fits only once other bodies are gone.
        (len(RESPONSE_BODY) // (2 * byte_budget.COPIES), b" 503 "),
        # Never fits, as it takes its size several times.
        (len(RESPONSE_BODY) // byte_budget.COPIES + 1, b" 413 "),
    ],
)
def test_a_body_without_memory_for_it_is_refused_by_its_head(size, status):
    """Guards against reading a body that can't be held."""

    async def scenario(server, budget):
        server.limits = server.limits._replace(
            max_body_bytes=len(RESPONSE_BODY)
        )
        held_bytes = budget.total_bytes * 3 // 4
        budget.hold(held_bytes)
        reader, writer = await _send(server, _post_head(size).encode())
        assert status in await reader.readline()
        # The response is not lost if the caller goes on sending.
        for _ in range(size >> 16):
            writer.write(bytes(1 << 16))
            await writer.drain()
        writer.close()
        budget.release(held_bytes)

    _run(scenario)


def test_batches_leave_memory_to_other_requests():
    """Guards against live calls that are refused while batches are open."""
    budget = byte_budget.ByteBudget(100)
    assert budget.try_hold(90, byte_budget.BATCH_SHARE)
    assert not budget.try_hold(1, byte_budget.BATCH_SHARE)
    assert budget.try_hold(10)
