"""The log of a run in the key-value service."""

import cbor2

from anvilwell_decisions.samples import records
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import codec
from anvilwell_platform.ports import keyvalue

_CODEC = codec.Codec(records.KINDS)
_PURPOSE = keyvalue.Purpose.LEDGER


class Written:
    """The chunk is in the log, with the entries that were asked for."""


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
        self._prefix = f"/anvilwell/runs/{run}/chunks/"
        self._store = store

    async def read(self):
        """Return all entries as ``chunks_by_number``."""
        snapshot = await self._store.get_prefix(self._prefix, purpose=_PURPOSE)
        return {
            int(key.removeprefix(self._prefix)): decode(entry.value)
            for key, entry in snapshot.entries_by_key.items()
        }

    async def write(self, number, entries):
        """Write a chunk; return the entries that are there afterwards.

        Raises
        ------
        exceptions.KeyValueUnavailable
            Nothing is known; the same write may be repeated.
        """
        key = f"{self._prefix}{number:010d}"
        swap = keyvalue.Swap(key, 0, encode(entries))
        result = await self._store.swap([swap], purpose=_PURPOSE)
        if result.landed:
            return entries
        there = result.entries_by_key.get(key)
        if there is None:
            there = await self._store.get(key, purpose=_PURPOSE)
        if there is None:
            raise exceptions.KeyValueUnavailable(
                f"chunk {key} neither landed nor was there"
            )
        return decode(there.value)


def encode(entries):
    """Return the bytes of a chunk."""
    return cbor2.dumps([_CODEC.encode(entry) for entry in entries])


def decode(value):
    """Return the entries of a chunk."""
    return tuple(_CODEC.decode(frame) for frame in cbor2.loads(value))
