"""Claims in the store that allow one VM at a time to order for an engine.

An agent gives orders to the engine on its VM. An entry gives them if the
engine has no agent or the agent is cut off. The fencing number of an order is
the store revision at which its holder claimed the engine. So a later holder
always has a higher number, and no two holders ever have the same number.
"""

import asyncio
import typing

import cbor2
import pydantic

from anvilwell_kernel.telemetry import logs
from anvilwell_outside.ports import keyvalue

PREFIX = "anvilwell/orders/"
# Longest time in seconds between the start of reading a claim and an order
# that relies on it.
MAX_READ_AGE_S = 0.5
# Seconds that a VM waits after it took an engine over. Two holders may not
# give orders within three seconds of each other, and the previous holder
# may still give an order on a claim that it read just before.
CLAIM_WAIT_S = 3.0 + 2 * MAX_READ_AGE_S

_LOG = logs.get_logger(__name__)


class EngineClaim(typing.NamedTuple):
    """The VM that gives orders to an engine, as stored.

    ``before`` is the previous holder, "" if there was none.
    """

    holder: str
    before: str = ""


_CLAIM_ADAPTER = pydantic.TypeAdapter(EngineClaim)


class EngineClaims:
    """Obtains and checks the claims of this process on engines.

    Parameters
    ----------
    store : store.AsyncStore
        The store that holds the claims.
    vm_id : str
        Id of this VM.
    """

    def __init__(self, store, vm_id):
        self._store = store
        self._vm_id = vm_id
        self._clock = asyncio.get_running_loop().time
        self._usable_at_by_address = {}

    async def obtain_fencing(self, address):
        """Return the fencing number for an order that is given at once.

        Claims the engine first if another VM or none holds it.

        Returns
        -------
        int or None
            None if this VM may give no order yet.

        Raises
        ------
        exceptions.KeyValueUnavailable
            If the store can't be reached.
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
        """Return the loop time from which this VM may use its claim.

        A process that restarted has no record of when its VM claimed the
        engine, so it waits the full time from now.
        """
        wait_s = CLAIM_WAIT_S if claim.before else 0.0
        usable_at = self._clock() + wait_s
        return self._usable_at_by_address.setdefault(str(address), usable_at)

    async def _claim(self, key, entry, claim):
        """Claim an engine; return the fencing number if it can be used now.

        Return None if the engine had a holder before, as the wait for that
        holder's last orders only begins, or if the write failed.
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
    """Return the stored `EngineClaim`, None if absent or unreadable."""
    if entry is None:
        return None
    try:
        return _CLAIM_ADAPTER.validate_python(cbor2.loads(entry.value))
    except (cbor2.CBORError, ValueError) as error:
        _LOG.log("claim-unreadable", key=key, cause=repr(error))
        return None
