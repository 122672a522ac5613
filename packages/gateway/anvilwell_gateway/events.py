"""Reads the event streams of replicas."""

import asyncio
import typing

from anvilwell_decisions.traffic import facts
from anvilwell_gateway.http import client
from anvilwell_kernel import reasons

# Each event is a block of lines that ends with a blank line.
BLOCK_END = b"\n\n"
# Limit of one event, in bytes.
MAX_BLOCK_BYTES = 1 << 20
# Limit of the bytes between two events that belong to none, in bytes. A sound
# replica sends events only.
MAX_IGNORED_BYTES = 16 << 10
# Longest wait for a response head or the next event, in seconds; after it the
# run continues at another replica. It is longer than the pause in which a
# replica loads weights, about 0.4 s, and many times the interval between
# events.
STALL_TIMEOUT_S = 0.8


class ReceivedEvent(typing.NamedTuple):
    """An event of a stream, and the block of lines that it was read from."""

    event: facts.Event
    block: bytes


class EventReader:
    """Reads the events of one response.

    Parameters
    ----------
    connection : client.Connection
        The connection, from which the response's head was read.
    parse : callable
        Returns the `facts.Event` in a block of lines, None if it holds none.
    """

    def __init__(self, connection, parse):
        self._connection = connection
        self._parse = parse
        self._blocks = _BlockSplitter()
        self._ignored_bytes = 0

    async def read(self, timeout_s):
        """Return the next `ReceivedEvent`s, or none at the stream's end.

        Bytes that belong to no event don't extend the time limit.

        Parameters
        ----------
        timeout_s : float or None
            How long to wait for an event or the end, in seconds.

        Raises
        ------
        TimeoutError
            If neither comes in time.
        exceptions.BackendFailed
            If the stream breaks off, or sends too much that is no event.
        """
        async with asyncio.timeout(timeout_s):
            while part := await self._connection.read_chunk():
                if received := self._receive(part):
                    return received
        if self._blocks.has_rest:
            raise client.call_error(
                "the stream ended inside an event", reasons.Refusal.ANSWER_CUT
            )
        return []

    def _receive(self, part):
        """Return the events that `part` completes."""
        blocks = self._blocks.split(part)
        received = [
            ReceivedEvent(event, block)
            for block in blocks
            if (event := self._parse(block)) is not None
        ]
        self._count_ignored(blocks, received)
        return received

    def _count_ignored(self, blocks, received):
        if received:
            self._ignored_bytes = 0
            return
        self._ignored_bytes += sum(map(len, blocks))
        self._ignored_bytes += len(BLOCK_END) * len(blocks)
        if self._ignored_bytes > MAX_IGNORED_BYTES:
            raise client.call_error("the stream has bytes that are no event")


class _BlockSplitter:
    """Splits a stream into the blocks of lines that blank lines end."""

    def __init__(self):
        self._rest = bytearray()
        # A carriage return whose line feed has not arrived yet.
        self._held = b""

    @property
    def has_rest(self):
        """Whether the bytes after the last block hold more than blanks."""
        return bool(self._rest.strip())

    def split(self, part):
        """Return the blocks that `part` completes, without their ends.

        Raises
        ------
        exceptions.BackendFailed
            If a block is too large.
        """
        part = self._held + part
        self._held = b"\r" if part.endswith(b"\r") else b""
        part = part.removesuffix(self._held).replace(b"\r\n", b"\n")
        # The end of a block may lie across the last part and this one.
        start = max(0, len(self._rest) - 1)
        self._rest += part
        ends = list(self._ends(start))
        starts = [0, *(end + len(BLOCK_END) for end in ends)]
        blocks = [
            bytes(self._rest[begin:end])
            for begin, end in zip(starts, ends, strict=False)
        ]
        del self._rest[: starts[-1]]
        if len(self._rest) > MAX_BLOCK_BYTES:
            raise client.call_error("an event exceeds the size limit")
        return blocks

    def _ends(self, start):
        """Yield the positions at which blocks end, from `start` on."""
        end = self._rest.find(BLOCK_END, start)
        while end >= 0:
            yield end
            end = self._rest.find(BLOCK_END, end + len(BLOCK_END))
