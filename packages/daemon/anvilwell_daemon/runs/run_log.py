"""The log of a run in the key-value service."""

import cbor2

from anvilwell_decisions.samples import records
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import codec
from anvilwell_outside.ports import keyvalue

_CODEC = codec.Codec(records.KINDS)
DELETES_AT_ONCE = 64

_PURPOSE = keyvalue.Purpose.LEDGER


class RunLog:
    """Reads and writes the chunks of one run.

    Parameters
    ----------
    run : str
        The run's name.
    store : daemon.keyvalue.facade.KeyValueFacade
        The key-value service.
    """

    def __init__(self, run, store):
        self._prefix = f"/anvilwell/runs/{run}/"
        self._store = store
        self._base_revision = 0
        self._revisions_by_number = {}

    async def read(self):
        """Return ``chunks_by_number`` and the base, None before any."""
        snapshot = await self._store.get_prefix(self._prefix, purpose=_PURPOSE)
        entries_by_key = dict(snapshot.entries_by_key)
        base = entries_by_key.pop(self._base_key(), None)
        self._base_revision = base.revision if base else 0
        chunks_by_number = {}
        for key, entry in entries_by_key.items():
            number = int(key.rpartition("/")[2])
            chunks_by_number[number] = decode(entry.value)
            self._revisions_by_number[number] = entry.revision
        return chunks_by_number, _CODEC.decode(base.value) if base else None

    async def write(self, number, entries):
        """Write a chunk; return the entries that are there afterwards.

        Raises
        ------
        exceptions.KeyValueUnavailable
            Nothing is known; the same write may be repeated.
        """
        key = self._chunk_key(number)
        swap = keyvalue.Swap(key, 0, encode(entries))
        result = await self._store.swap([swap], purpose=_PURPOSE)
        if result.landed:
            self._revisions_by_number[number] = result.revision
            return entries
        there = result.entries_by_key.get(key)
        if there is None:
            there = await self._store.get(key, purpose=_PURPOSE)
        if there is None:
            raise exceptions.KeyValueUnavailable(
                f"chunk {key} neither landed nor was there"
            )
        self._revisions_by_number[number] = there.revision
        return decode(there.value)

    async def trim(self, base):
        """Write `base` and delete the chunks before it.

        Chunks that stay because that fails go with the next trim; the
        base says that they do not count.
        """
        swap = keyvalue.Swap(
            self._base_key(), self._base_revision, _CODEC.encode(base)
        )
        result = await self._store.swap([swap], purpose=_PURPOSE)
        if not result.landed:
            return
        self._base_revision = result.revision
        gone = sorted(n for n in self._revisions_by_number if n < base.chunk)
        for start in range(0, len(gone), DELETES_AT_ONCE):
            await self._delete(gone[start : start + DELETES_AT_ONCE])

    async def _delete(self, numbers):
        deletes = [
            keyvalue.Swap(
                self._chunk_key(number),
                self._revisions_by_number[number],
                None,
            )
            for number in numbers
        ]
        result = await self._store.swap(deletes, purpose=_PURPOSE)
        if result.landed:
            for number in numbers:
                del self._revisions_by_number[number]

    def _base_key(self):
        return f"{self._prefix}base"

    def _chunk_key(self, number):
        return f"{self._prefix}chunks/{number:010d}"


def encode(entries):
    """Return the bytes of a chunk."""
    return cbor2.dumps([_CODEC.encode(entry) for entry in entries])


def decode(value):
    """Return the entries of a chunk."""
    return tuple(_CODEC.decode(frame) for frame in cbor2.loads(value))
