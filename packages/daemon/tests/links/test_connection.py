"""One connection, without a socket."""

import asyncio

import websockets

from anvilwell_daemon.links import connection as connections
from anvilwell_kernel.messages import requests


class DeadWebsocket:
    """Takes nothing and is closed as soon as it is read."""

    async def recv(self, decode):
        raise websockets.ConnectionClosedError(None, None)

    async def send(self, frame):
        await asyncio.Event().wait()

    async def close(self):
        pass


def test_flush_ends_when_the_connection_is_over():
    async def scenario():
        connection = connections.Connection(DeadWebsocket())
        await connection.run(lambda message: None)
        connection.send(requests.Credit(1, 1))
        async with asyncio.timeout(20):
            await connection.flush()

    asyncio.run(scenario())


def test_a_withdrawn_message_never_leaves():
    async def scenario():
        connection = connections.Connection(DeadWebsocket())
        message = requests.Credit(1, 1)
        connection.send(message)
        first = connection.withdraw(message)
        return first, connection.withdraw(message)

    assert asyncio.run(scenario()) == (True, False)
