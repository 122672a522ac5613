"""Tests the reasons by which new connections to replicas are counted."""

import asyncio
import itertools

import pytest

from anvilwell_gateway.http import connection_pool
from anvilwell_gateway.http import connection_records
from anvilwell_gateway.http import messages
from anvilwell_gateway.http import server as servers
from anvilwell_kernel.config import options
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters

USE = connection_records.Use("r", reasons.Work.LIVE_CALL, "a1")
REQUEST = messages.Request("GET", "/", (("Host", "x"),), b"")


@pytest.fixture
def counted(monkeypatch):
    """The reasons of the new connections so far, in order."""
    found = []
    monkeypatch.setattr(
        counters,
        "count_new_connection",
        lambda work, reason: found.append(str(reason)),
    )
    return found


def test_each_lost_connection_explains_one_new_one(counted):
    """Guard against a lost connection that is blamed twice, or never."""
    records = connection_records.ConnectionRecords()
    records.lost("r#1", reasons.NewConnection.STOPPED)
    records.opened("r#1", USE)
    records.lost("r#1", reasons.NewConnection.STOPPED)
    records.opened("r#1", USE._replace(is_second_attempt=True))
    records.opened("r#1", USE)
    records.opened("r#2", USE)
    assert counted == [
        "first-use",
        "second-attempt",
        "concurrent",
        "new-incarnation",
    ]


@pytest.mark.parametrize("uses_oldest", [False, True])
def test_the_oldest_idle_connection_is_used_first(uses_oldest):
    """Guard against connections that expire while others are used."""
    now_s = 0.0

    async def handle(request, responder):
        await responder.send(200)

    async def scenario():
        nonlocal now_s
        pool = connection_pool.Pool(lambda: now_s, uses_oldest=uses_oldest)
        server = servers.Server(options.Address("127.0.0.1", 0), handle)
        await server.start()
        address = options.Address("127.0.0.1", server.port)
        calls = [pool.call("k", address, REQUEST, 5.0, 100) for _ in range(2)]
        await asyncio.gather(*calls)
        for _ in range(3):
            now_s += 1.4
            await pool.call("k", address, REQUEST, 5.0, 100)
        usable = pool.idle_count("k")
        pool.close()
        await server.stop()
        return usable

    assert asyncio.run(scenario()) == (2 if uses_oldest else 1)


def test_the_pool_reports_how_connections_were_lost(counted):
    """Guard against wrong reasons, and against counting our own VMs."""
    now_s = 0.0
    uses = (USE._replace(request_id=str(n)) for n in itertools.count())

    async def handle(request, responder):
        await responder.send(503 if request.target == "/no" else 200)

    async def ask(pool, address, target="/"):
        connection = await pool.acquire("k", address, use=next(uses))
        connection.send("GET", target, REQUEST.headers)
        reply = await connection.read_head()
        if reply.status != 200:
            connection.close()
            return
        await connection.read_body(100)
        pool.release("k", connection, reply)

    async def scenario():
        nonlocal now_s
        pool = connection_pool.Pool(lambda: now_s)
        server = servers.Server(options.Address("127.0.0.1", 0), handle)
        await server.start()
        address = options.Address("127.0.0.1", server.port)
        await asyncio.gather(ask(pool, address), ask(pool, address))
        now_s += 3600.0
        await ask(pool, address)
        pool.forget("k")
        await ask(pool, address, "/no")
        connection = await pool.acquire("k", address, use=USE)
        connection.close()
        await ask(pool, address)
        await pool.call("own", address, REQUEST, 5.0, 100)
        await server.stop()
        with pytest.raises(exceptions.BackendFailed):
            await ask(pool, address)
        pool.close()

    asyncio.run(scenario())
    assert counted == [
        "first-use",
        "concurrent",
        "idle-expired",
        "was-unusable",
        "answer-refused",
        "stopped",
    ]
