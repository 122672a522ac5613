"""Who may give an engine orders: one holder at a time, kept in the store.

An agent orders for the engine beside it. Where there is none, or it is
cut off, an entry does. Each order's fencing number is the revision at
which its holder took the engine, so a later holder's is always higher,
and no two holders ever have the same.
"""

import asyncio
import typing

import cbor2
import pydantic

from anvilwell_kernel.telemetry import logs
from anvilwell_outside.ports import keyvalue

PREFIX = "anvilwell/orders/"
# An order follows the read that allowed it within this time, in seconds.
MAX_READ_AGE_S = 0.5
# Holders may not take turns within three seconds. Whoever takes an engine
# from another waits so long, and for what the other has read just before.
CLAIM_WAIT_S = 3.0 + 2 * MAX_READ_AGE_S

_LOG = logs.get_logger(__name__)


class EngineClaim(typing.NamedTuple):
    """Who orders; ``before`` is who did until then, "" for nobody."""

    holder: str
    before: str = ""


_CLAIM_ADAPTER = pydantic.TypeAdapter(EngineClaim)


class EngineClaims:
    """The engines that this process gives orders to.

    Parameters
    ----------
    store : store.AsyncStore
        Where the claims lie.
    vm_id : str
        This VM.
    """

    def __init__(self, store, vm_id):
        self._store = store
        self._vm_id = vm_id
        self._clock = asyncio.get_running_loop().time
        self._usable_at_by_address = {}

    async def obtain_fencing(self, address):
        """Return the fencing number of an order to be given at once.

        Returns
        -------
        int or None
            None if no order may be given yet.

        Raises
        ------
        exceptions.KeyValueUnavailable
            If the store can't be asked.
        """
        requested_at = self._clock()
        key = f"{PREFIX}{address}"
        entry = await self._store.get(key)
        claim = _decode(key, entry)
        if claim is None or claim.holder != self._vm_id:
            return await self._claim(key, entry, claim)
        usable_at = self._usable_at(address, claim)
        now = self._clock()
        if now < usable_at or now - requested_at > MAX_READ_AGE_S:
            return None
        return entry.revision

    def _usable_at(self, address, claim):
        """Return from when on this VM may order for an engine of its own.

        A process that does not know when its VM took the engine counts
        from now on.
        """
        wait_s = CLAIM_WAIT_S if claim.before else 0.0
        usable_at = self._clock() + wait_s
        return self._usable_at_by_address.setdefault(str(address), usable_at)

    async def _claim(self, key, entry, claim):
        """Take an engine; return the number of an order to be given now.

        From another holder, there is none yet.
        """
        address = key.removeprefix(PREFIX)
        self._usable_at_by_address.pop(address, None)
        before = claim.holder if claim else ""
        value = cbor2.dumps(EngineClaim(self._vm_id, before))
        swap = keyvalue.Swap(key, entry.revision if entry else 0, value)
        result = await self._store.swap([swap])
        if not result.landed:
            return None
        wait_s = CLAIM_WAIT_S if entry else 0.0
        self._usable_at_by_address[address] = self._clock() + wait_s
        _LOG.log("engine-claimed", engine=address, before=before)
        return None if entry else result.revision


def _decode(key, entry):
    """Return the `EngineClaim` in an entry, None if there is none to read."""
    if entry is None:
        return None
    try:
        return _CLAIM_ADAPTER.validate_python(cbor2.loads(entry.value))
    except (cbor2.CBORError, ValueError) as error:
        _LOG.log("claim-unreadable", key=key, cause=repr(error))
        return None
