"""The engines of a service, as an agent reads them."""

import asyncio

from anvilwell_gateway import directory
from anvilwell_gateway import notices
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# Above this number of engines, the registrations are not read again while an
# entry's recent report confirms the cached addresses.
LARGE_SERVICE_ENGINES = 100
# How long an entry's report is valid, in seconds. A trainer publishes its next
# version within this time.
REPORT_VALIDITY_S = 5.0
# How long registrations that were read for one model are used for another
# model too, in seconds. The data of stale reads may be older than this.
MAX_READ_AGE_S = 1.0

_LOG = logs.get_logger(__name__)


class EngineListing:
    """Caches the addresses of a service's engines.

    Parameters
    ----------
    store : store.AsyncStore
        Where the engines are registered.
    codec : store_codec.StoreCodec
        Decodes the registrations.
    service : str
        The service.
    """

    def __init__(self, store, codec, service):
        self._store = store
        self._codec = codec
        self._service = service
        self._clock = asyncio.get_running_loop().time
        self._digest = None
        self._reading = asyncio.Lock()
        self._read_at = float("-inf")
        self._unreadable = set()
        self.addresses = ()

    @property
    def age_s(self):
        """Time since the registrations were read, in seconds."""
        return self._clock() - self._read_at

    async def find(self, reported):
        """Return the addresses of all engines, none if they can't be read.

        Parameters
        ----------
        reported : notices.EngineDigest
            The digest of the engines that an entry reported last.
        """
        async with self._reading:
            if self.age_s < MAX_READ_AGE_S or self._is_confirmed(reported):
                return self.addresses
            return await self._read()

    async def _read(self):
        try:
            snapshot = await self._store.get_prefix(
                self._codec.replicas_prefix, may_be_stale=True
            )
        except exceptions.AnvilwellError as error:
            _LOG.log("replicas-not-read", cause=error.message)
            return []
        replicas = [
            directory.read(
                self._codec, entry.key, entry.value, self._unreadable
            )
            for entry in snapshot.entries_by_key.values()
        ]
        self._read_at = self._clock()
        self.addresses = [
            replica.address
            for replica in replicas
            if replica and replica.service == self._service
        ]
        self._digest = notices.digest(self.addresses)
        return self.addresses

    def _is_confirmed(self, reported):
        """Return whether a recent report confirms the cached addresses."""
        return (
            len(self.addresses) > LARGE_SERVICE_ENGINES
            and reported.digest == self._digest
            and self._clock() - reported.received_at < REPORT_VALIDITY_S
        )
