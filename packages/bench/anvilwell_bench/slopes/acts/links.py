"""Messages between daemons through real sockets, both ends together."""

import asyncio
import logging

from websockets.asyncio import client
from websockets.asyncio import server

from anvilwell_bench.slopes import act
from anvilwell_kernel.messages import codec
from anvilwell_kernel.messages import membership as messages

CODEC = codec.Codec(messages.KINDS)

logging.getLogger("websockets").setLevel(logging.WARNING)


async def _exchange(count):
    """Send `count` heartbeats and get an answer to each."""

    async def answer(websocket):
        async for frame in websocket:
            heartbeat = CODEC.decode(frame)
            await websocket.send(
                CODEC.encode(messages.Ack(heartbeat.number, []))
            )

    async with server.serve(
        answer, "127.0.0.1", 0, compression=None
    ) as listener:
        port = listener.sockets[0].getsockname()[1]
        url = f"ws://127.0.0.1:{port}"
        async with client.connect(url, compression=None) as websocket:
            for number in range(count):
                heartbeat = messages.Heartbeat(number, [])
                await websocket.send(CODEC.encode(heartbeat))
                CODEC.decode(await websocket.recv())


class MessageCpu(act.Act):
    """CPU of messages over a loopback websocket, kernel time included."""

    name = "control.messages.cpu"
    act = "send, receive, encode and decode small control messages"
    grows_with = "messages"
    unit = "us"
    sizes = (200, 400, 800, 1600)

    def measure(self, size):
        """Return CPU microseconds of both ends."""
        return act.cpu_us(lambda: asyncio.run(_exchange(size // 2)), 1)
