"""What callers do not read counts as held, and is in memory once."""

import asyncio

from anvilwell_decisions.requests import byte_budget
from anvilwell_gateway.http import server as servers
from anvilwell_kernel.config import options

# More than sockets and transports take between them.
ANSWER = bytes(16 << 20)
HERE = options.Address("127.0.0.1", 0)
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nsome body"


def _run(scenario):
    async def run():
        budget = byte_budget.ByteBudget(len(ANSWER))

        async def answer(request, responder):
            body = ANSWER if request.method == "GET" else b""
            await responder.send(200, (), body)

        server = servers.Server(HERE, answer, None, budget)
        await server.start()
        try:
            await scenario(server, budget)
        finally:
            await server.stop()
        assert budget.held_bytes == 0

    asyncio.run(run())


async def _ask(server, request):
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(request)
    await writer.drain()
    return reader, writer


def test_an_answer_counts_until_it_is_read():
    async def scenario(server, budget):
        reader, writer = await _ask(server, REQUEST)
        while not budget.held_bytes:
            await asyncio.sleep(0.01)
        assert await reader.readexactly(len(ANSWER))
        while budget.held_bytes:
            await asyncio.sleep(0.01)
        writer.close()

    _run(scenario)


def test_new_bodies_are_refused_while_answers_are_not_read():
    async def scenario(server, budget):
        budget.hold(budget.total_bytes)
        reader, writer = await _ask(server, POST)
        assert b" 503 " in await reader.readline()
        budget.release(budget.total_bytes)
        writer.close()
        reader, writer = await _ask(server, POST)
        assert b" 200 " in await reader.readline()
        writer.close()

    _run(scenario)


def test_a_reader_that_leaves_holds_nothing():
    async def scenario(server, budget):
        _, writer = await _ask(server, REQUEST)
        while not budget.held_bytes:
            await asyncio.sleep(0.01)
        writer.transport.abort()
        while budget.held_bytes:
            await asyncio.sleep(0.01)

    _run(scenario)
