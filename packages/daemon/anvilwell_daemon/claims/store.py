"""Stores claims in the platform's key-value service."""

from anvilwell_decisions.requests import claims
from anvilwell_decisions.requests import records
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import codec
from anvilwell_kernel.telemetry import logs
from anvilwell_outside.ports import keyvalue as port

RETENTION_S = 24 * 3600.0
LEASE_EPOCH_S = 3600.0

_LOG = logs.get_logger(__name__)
_CODEC = codec.Codec((records.Record,))


class ClaimStore:
    """Reads and writes claims, which expire in the store.

    Records are attached to a lease that is never renewed. A new lease
    is granted every ``LEASE_EPOCH_S`` seconds, so a record lasts for
    the retention time and at most one epoch longer. No clocks of
    different machines are compared.

    Parameters
    ----------
    keyvalue : facade.KeyValueFacade
        The key-value service.
    clock : clock.Clock
        Source of time.
    retention_s : float
        Minimum time for which a record is kept, in seconds.
    """

    def __init__(self, keyvalue, clock, retention_s=RETENTION_S):
        self._keyvalue = keyvalue
        self._clock = clock
        self._retention_s = retention_s
        self._lease = 0
        self._lease_until = 0.0

    async def write(self, swaps):
        """Apply all `swaps` or none.

        Returns
        -------
        claims.WriteApplied, claims.WriteConflict or claims.WriteUnknown
            ``WriteUnknown`` if the store did not answer.
        """
        try:
            lease = await self._current_lease()
            result = await self._keyvalue.swap(
                [_to_port(swap, lease) for swap in swaps],
                purpose=port.Purpose.CLAIM,
            )
            return _from_port(result)
        except exceptions.AnvilwellError as error:
            # If the store has lost the lease, every write under it fails:
            # the next write is made under a new one.
            self._lease_until = 0.0
            _LOG.log("write-lost", swaps=len(swaps), cause=error.message)
            return claims.WriteUnknown()

    async def read(self, key):
        """Return the `records.Record` of a store key, or None.

        Raises
        ------
        exceptions.KeyValueUnavailable
            If the store did not answer.
        """
        entry = await self._keyvalue.get(key, purpose=port.Purpose.CLAIM)
        return _CODEC.decode(entry.value) if entry else None

    async def _current_lease(self):
        requested_at = self._clock.monotonic()
        if requested_at >= self._lease_until:
            self._lease = await self._keyvalue.grant(
                self._retention_s + LEASE_EPOCH_S,
                purpose=port.Purpose.CLAIM,
            )
            self._lease_until = requested_at + LEASE_EPOCH_S
        return self._lease


def _to_port(swap, lease):
    if swap.record is None:
        return port.Swap(swap.key, swap.expected, None)
    value = _CODEC.encode(swap.record)
    return port.Swap(swap.key, swap.expected, value, lease)


def _from_port(result):
    if result.landed:
        return claims.WriteApplied(result.revision)
    return claims.WriteConflict(
        {
            key: records.StoredRecord(
                _CODEC.decode(entry.value), entry.revision
            )
            for key, entry in result.entries_by_key.items()
            if entry is not None
        }
    )
