"""Tests that replicas which send without end hold neither calls nor the loop.

A raw server on the loopback interface sends the same bytes again and again
until its connection is closed.
"""

import asyncio
import contextlib
import types

from anvilwell_decisions.batches import progress as progresses
from anvilwell_decisions.traffic import facts
from anvilwell_kernel.config import options
from anvilwell_kernel import exceptions
import pytest

from anvilwell_gateway.batches import runner as runners
from anvilwell_gateway import dialect as dialects
from anvilwell_gateway import events
from anvilwell_gateway.http import client
from anvilwell_gateway.http import connection_pool
from anvilwell_gateway.http import messages

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Pause between two sends of a slow replica, in seconds: shorter than the
# longest wait for an event.
SLOW_PAUSE_S = events.STALL_TIMEOUT_S / 4
# Longest time until a run leaves the replica: the wait for the head and that
# for an event, and as much again for a busy machine, in seconds.
LEAVE_TIMEOUT_S = 4 * events.STALL_TIMEOUT_S


class _Dialect:
    """Reads blocks such as b"id: 1" as events; all heads are sealed."""

    def item_headers(self, item, host):
        return (("Host", host),)

    def replica_headers(self, headers, *limits):
        return headers

    def read_response_head(self, reply):
        return dialects.ResponseHead("i", "seal", False, 1)

    def read_event(self, block):
        key, _, number = block.partition(b": ")
        return facts.Event(int(number), "", 1) if key == b"id" else None


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


@contextlib.asynccontextmanager
async def _endless(first, repeated, pause_s=0.0):
    """Serve `first` and then `repeated` until the connection is closed."""
    tasks = set()

    async def serve(reader, writer):
        tasks.add(asyncio.current_task())
        writer.write(first)
        with contextlib.suppress(ConnectionError):
            while not writer.transport.is_closing():
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(pause_s)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield options.Address("127.0.0.1", server.sockets[0].getsockname()[1])
    finally:
        server.close()
        await asyncio.gather(*tasks)


async def _run_item(address):
    pool = connection_pool.Pool(asyncio.get_running_loop().time)
    runner = runners.Runner(_Dialect(), pool, lambda replica: True)
    request = runners.RunRequest(
        facts.Item("i", "/", (), b"", "g"),
        "h",
        progresses.Progress("i"),
        0,
        False,
        60.0,
    )
    pace = types.SimpleNamespace(record_gap=lambda gap_s, now: None)
    replica = facts.Replica("r", "lm", address, "a", 1)
    return await runner.run(request, replica, pace)


@pytest.mark.parametrize(
    ("first", "repeated", "pause_s"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 100, 0.0),
        (b"", b"HTTP/1.1 103 x\r\n\r\n", 0.0),
        (b"", b"HTTP/1.1 103 x\r\n\r\n", SLOW_PAUSE_S),
        (HEAD, _chunk(b"x" * 1000), 0.0),
        (HEAD, _chunk(b": x\n\n") * 100, 0.0),
        (HEAD, _chunk(b": x\n\n"), SLOW_PAUSE_S),
        (HEAD, _chunk(b"\n") * 100, 0.0),
        (HEAD, _chunk(b"\n"), SLOW_PAUSE_S),
        (HEAD + _chunk(b"id: 1\n\n"), _chunk(b"x"), SLOW_PAUSE_S),
    ],
    ids=[
        "head",
        "interim heads",
        "slow interim heads",
        "block",
        "comments",
        "slow comments",
        "blank lines",
        "slow blank lines",
        "slow block",
    ],
)
def test_a_run_leaves_a_replica_that_sends_no_events(first, repeated, pause_s):
    """Guard against an item that never leaves a faulty replica."""

    async def scenario():
        async with (
            _endless(first, repeated, pause_s) as address,
            asyncio.timeout(LEAVE_TIMEOUT_S),
        ):
            return await _run_item(address)

    result = asyncio.run(scenario())
    assert result.end in (runners.RunEnd.BROKEN, runners.RunEnd.STALLED)


def test_interim_heads_without_end_are_not_read_on():
    """Guard against a call that reads heads until its time is up."""

    async def scenario():
        async with _endless(b"", b"HTTP/1.1 103 x\r\n\r\n") as address:
            connection = await client.Connection.open(address)
            connection.send("GET", "/", (("Host", "x"),))
            with pytest.raises(exceptions.BackendFailed):
                await asyncio.wait_for(connection.read_head(), 60.0)
            connection.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("repeated", "pause_s"),
    [
        (_chunk(b"x" * 1000), 0.0),
        (_chunk(b"x"), SLOW_PAUSE_S),
        (b"HTTP/1.1 103 x\r\n\r\n", 0.0),
    ],
)
def test_a_whole_response_is_limited_in_time_and_size(repeated, pause_s):
    """Guard against reports and answers of the store that never end."""
    first = b"" if repeated.startswith(b"HTTP") else HEAD
    limit_s = 2 * SLOW_PAUSE_S

    async def scenario():
        pool = connection_pool.Pool(asyncio.get_running_loop().time)
        request = messages.Request("GET", "/", (("Host", "x"),), b"")
        async with (
            _endless(first, repeated, pause_s) as address,
            asyncio.timeout(LEAVE_TIMEOUT_S),
        ):
            with pytest.raises(exceptions.BackendFailed):
                await pool.call("r", address, request, limit_s, 100_000)

    asyncio.run(scenario())


def test_bytes_that_wait_do_not_hold_the_loop():
    """Guard against a loop that only reads the bytes of one replica."""
    count = 1000

    async def scenario():
        reader = asyncio.StreamReader()
        reader.feed_data(HEAD + _chunk(b"x") * count)
        writer = types.SimpleNamespace(write=lambda data: None)
        connection = client.Connection(reader, writer)
        connection.send("GET", "/", (("Host", "x"),))
        await connection.read_head()
        turns = 0

        async def count_turns():
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        counting = asyncio.create_task(count_turns())
        for _ in range(count):
            await connection.read_chunk()
        counting.cancel()
        return turns

    assert asyncio.run(scenario()) >= count // client.EVENTS_PER_TURN


def test_events_are_read_however_their_bytes_are_split():
    """Guard against a block end that is missed between two parts."""
    stream = b"id: 1\n\n: x\n\nid: 2\r\n\r\n\n\nid: 3\n\n"

    async def read(size):
        parts = [stream[at : at + size] for at in range(0, len(stream), size)]

        async def read_chunk():
            return parts.pop(0) if parts else b""

        reader = events.EventReader(
            types.SimpleNamespace(read_chunk=read_chunk),
            _Dialect().read_event,
        )
        found = []
        while received := await reader.read(1.0):
            found += [(event.number, block) for event, block in received]
        return found

    for size in range(1, len(stream) + 1):
        assert asyncio.run(read(size)) == [
            (1, b"id: 1"),
            (2, b"id: 2"),
            (3, b"id: 3"),
        ]
