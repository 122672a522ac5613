"""Tests keepalive probes and timeouts of the client's connections."""

import asyncio
import contextlib
import socket

import pytest

from anvilwell_gateway.http import client
from anvilwell_gateway.http import connection_pool
from anvilwell_gateway.http import messages
from anvilwell_gateway.http import server as servers
from anvilwell_kernel.config import options
from anvilwell_kernel import exceptions
from anvilwell_kernel import verdict as verdicts

REQUEST = messages.Request("GET", "/", (("Host", "x"),), b"")


@contextlib.asynccontextmanager
async def _served(handle):
    server = servers.Server(options.Address("127.0.0.1", 0), handle)
    await server.start()
    try:
        yield options.Address("127.0.0.1", server.port)
    finally:
        await server.stop()


async def _answer_at_once(request, responder):
    await responder.send(200)


@pytest.mark.parametrize("use_keepalive", [False, True])
def test_only_connections_with_keepalive_are_probed(use_keepalive):
    async def scenario():
        pool = connection_pool.Pool(
            asyncio.get_running_loop().time, use_keepalive
        )
        async with _served(_answer_at_once) as address:
            connection = await pool.acquire("k", address)
            peer = connection._writer.get_extra_info("socket")
            probes = peer.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            silence_ms = peer.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            )
            connection.close()
            return bool(probes), silence_ms

    silence_ms = client.SILENCE_TIMEOUT_S * 1000
    expected = (True, silence_ms) if use_keepalive else (False, 0)
    assert asyncio.run(scenario()) == expected


def test_a_timeout_closes_the_idle_connections_of_the_peer():
    is_hanging = False

    async def handle(request, responder):
        if is_hanging:
            await asyncio.get_running_loop().create_future()
        await responder.send(200)

    async def scenario():
        nonlocal is_hanging
        pool = connection_pool.Pool(asyncio.get_running_loop().time)
        async with _served(handle) as address:
            first = pool.call("k", address, REQUEST, 5.0, 100)
            second = pool.call("k", address, REQUEST, 5.0, 100)
            await asyncio.gather(first, second)
            idle = list(pool._idle_by_key["k"])
            assert len(idle) == 2
            is_hanging = True
            with pytest.raises(exceptions.BackendFailed) as caught:
                await pool.call("k", address, REQUEST, 0.05, 100)
            assert not pool._idle_by_key["k"]
            return caught.value.verdict

    assert asyncio.run(scenario()) is verdicts.Verdict.MAY_HAVE_RUN


def test_a_refused_connection_means_that_the_request_did_not_run():
    async def scenario():
        pool = connection_pool.Pool(asyncio.get_running_loop().time)
        async with _served(_answer_at_once) as address:
            pass
        with pytest.raises(exceptions.BackendFailed) as caught:
            await pool.call("k", address, REQUEST, 5.0, 100)
        return caught.value.verdict

    assert asyncio.run(scenario()) is verdicts.Verdict.NOT_RUN


def test_a_connection_whose_use_is_cancelled_at_once_is_closed():
    """Guard against connections that are neither pooled nor closed."""

    async def scenario():
        pool = connection_pool.Pool(asyncio.get_running_loop().time)
        async with _served(_answer_at_once) as address:
            await pool.call("k", address, REQUEST, 5.0, 100)
            (connection,) = pool._idle_by_key["k"]
            taking = asyncio.create_task(pool.acquire("k", address))
            await asyncio.sleep(0)
            taking.cancel()
            await asyncio.gather(taking, return_exceptions=True)
            assert taking.cancelled()
            return connection._writer.is_closing()

    assert asyncio.run(scenario())


def test_a_large_body_is_written_as_the_peer_reads_it():
    """Guards against a second copy of a body that the peer hasn't read."""
    # Larger than the buffers of the sockets and transports together.
    body = bytes(16 << 20)
    may_read = asyncio.Event()
    received = []

    async def read(reader, writer):
        await may_read.wait()
        await reader.readuntil(b"\r\n\r\n")
        received.append(await reader.readexactly(len(body)))
        writer.close()

    async def scenario():
        server = await asyncio.start_server(read, "127.0.0.1", 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            address = options.Address("127.0.0.1", port)
            connection = await client.Connection.open(address)
            connection.send("POST", "/", (("Host", "x"),), body)
            # The socket accepts what it can, and the writer waits.
            for _ in range(1000):
                await asyncio.sleep(0)
            buffered = connection._writer.transport.get_write_buffer_size()
            may_read.set()
            while not received:
                await asyncio.sleep(0)
            connection.close()
        return buffered

    assert asyncio.run(scenario()) <= 2 * client.WRITE_BYTES
    assert received == [body]
