"""Follows a prefix of the store: a whole read, then its changes."""

import abc
import asyncio

from anvilwell_gateway import store as stores
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# A waiting watch counts as one call, so longer waits make fewer calls.
# The store keeps 20 s of history; a quiet watch has to return within it.
WATCH_WAIT_S = 15.0
# Changes that come within this time share one call. It is a quarter of
# what a change may take at most, and saves about a third of the calls.
GATHER_S = 0.25
# Between tries while the store gives no answer: well under the two
# seconds within which a change has to be in force.
RETRY_S = 0.25

_LOG = logs.get_logger(__name__)


class Follower(abc.ABC):
    """Keeps a copy of the entries under one prefix.

    A subclass takes whole reads by ``load`` and changes by ``change``.
    Nothing that is older than what was taken before reaches it. Changes
    that come within ``gather_s`` seconds share one call.
    """

    gather_s = GATHER_S

    def __init__(self, store, prefix):
        self._store = store
        self._prefix = prefix
        self._revisions_by_key = {}
        self._task = None
        self._revision = None
        self._is_lost = False
        self.is_loaded = False

    @abc.abstractmethod
    def load(self, entries_by_key):
        """Take all entries that are there now."""

    @abc.abstractmethod
    def change(self, change):
        """Take one change."""

    def start(self):
        """Begin to follow."""
        self._task = asyncio.create_task(self._follow())
        self._store.listen_regained(self.restart)

    async def stop(self):
        """Follow no more."""
        task, self._task = self._task, None
        if task:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def restart(self):
        """Give up a watch that may hang, and read anew."""
        if self._task:
            self._task.cancel()
            self._task = asyncio.create_task(self._follow())
            self.regained()

    async def _follow(self):
        """Read the whole, then watch, until a watch ends badly.

        A watch that follows a lost one could miss what changed while the
        store was in trouble; a whole read can't.
        """
        while True:
            try:
                revision = await self._load()
                while True:
                    revision = await self._watch(revision)
                    self._revision = revision
                    await asyncio.sleep(self.gather_s)
            except stores.HistoryGone:
                _LOG.log("history-gone", prefix=self._prefix)
            except exceptions.AnvilwellError as error:
                self._lost(error)
                await asyncio.sleep(RETRY_S)

    async def _load(self):
        snapshot = await self._store.get_prefix(self._prefix)
        self._regained()
        if snapshot.revision < (self._revision or 0):
            raise exceptions.KeyValueUnavailable("the read is an old one")
        self._revision = snapshot.revision
        self._revisions_by_key = {
            key: entry.revision
            for key, entry in snapshot.entries_by_key.items()
        }
        self.load(snapshot.entries_by_key)
        self.is_loaded = True
        return snapshot.revision

    async def _watch(self, revision):
        seen = await self._store.watch(self._prefix, revision, WATCH_WAIT_S)
        for change in seen.changes:
            if change.revision > self._revisions_by_key.get(change.key, 0):
                self._revisions_by_key[change.key] = change.revision
                self.change(change)
        return max(revision, seen.revision)

    def _lost(self, error):
        if not self._is_lost:
            self._is_lost = True
            _LOG.log("store-lost", prefix=self._prefix, cause=error.message)

    def _regained(self):
        if self._is_lost:
            self._is_lost = False
            _LOG.log("store-regained", prefix=self._prefix)
            self.regained()

    def regained(self):
        """Note that the store answers again after it did not."""
