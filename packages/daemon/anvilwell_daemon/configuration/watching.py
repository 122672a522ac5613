"""Watches the records on behalf of a failure domain."""

import asyncio

from anvilwell_daemon.configuration import store as stores
from anvilwell_decisions.configuration import limits
from anvilwell_decisions.configuration import record as records
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TURN_S = 5.0
IDLE_S = 20.0

_LOG = logs.get_logger(__name__)


class Watching:
    """Holds one watch if this instance is one of its domain's watchers.

    What it learns reaches the others by exchanges.

    Parameters
    ----------
    member : member.Member
        This instance's own part.
    store : store.Store
        The key-value service.
    fleet : fleet.Fleet
        Says whose turn it is.
    rng : random.Random
        Jitter.
    """

    def __init__(self, member, store, fleet, rng):
        self._member = member
        self._store = store
        self._fleet = fleet
        self._rng = rng

    async def run(self):
        """Watch, or look whose turn it is, for ever."""
        while True:
            if self._is_turn():
                await self._watch()
            await asyncio.sleep(TURN_S * self._rng.uniform(0.5, 1.0))

    def _is_turn(self):
        return self._fleet.is_watcher(limits.WATCHERS_PER_DOMAIN)

    async def _watch(self):
        """Read once, then watch on for as long as it is this one's turn."""
        try:
            documents, revision = await self._store.snapshot()
            for document in documents:
                self._member.learn(document)
            while self._is_turn():
                changes = self._store.watch(revision + 1, IDLE_S)
                async for change in changes:
                    self._learn(change)
                    revision = max(revision, change.revision)
        except exceptions.AnvilwellError as error:
            _LOG.log("watch-ended", cause=error.message)

    def _learn(self, change):
        service = stores.service_of(change.key)
        record = records.decode(change.value, service)
        self._member.learn(records.document_of(record))
