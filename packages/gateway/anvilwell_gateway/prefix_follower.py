"""Follows a prefix of the store: a whole read, then its changes."""

import abc
import asyncio
import random

from anvilwell_gateway import feeds
from anvilwell_gateway import store as stores
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# A waiting watch counts as one call, so longer waits make fewer calls.
# The store keeps 20 s of history; a quiet watch has to return within it.
WATCH_WAIT_S = 15.0
# Changes that come within this time share one call. It is a quarter of
# what a change may take at most, and saves about a third of the calls.
COALESCE_S = 0.25
# Between tries while the store gives no answer, doubled each time up to the
# longest. Its first answer to any call of this process, a renewal or a ping
# as a rule, has all followers read at once; each refusal is paid for.
RETRY_S = 1.0
MAX_RETRY_S = 8.0
# The share of a wait that is drawn, so that processes spread.
JITTER_SHARE = 0.3
# Between questions to a neighbour that does not reach the store: a little
# more than between its own tries.
NEIGHBOUR_RETRY_S = 0.15

_LOG = logs.get_logger(__name__)


class PrefixFollower(abc.ABC):
    """Keeps a copy of the entries under one prefix.

    A subclass takes whole reads by ``load`` and changes by ``change``.
    Nothing that is older than what was taken before reaches it. Changes
    that come within ``gather_s`` seconds share one call.

    They come from the store itself, or from a neighbour that watches it.
    """

    coalesce_s = COALESCE_S

    def __init__(self, store, prefix):
        self._store = store
        self._prefix = prefix
        self._revisions_by_key = {}
        self._task = None
        self._revision = None
        self._is_lost = False
        self._neighbours = None
        self._feed = None
        self._source = None
        self._has_settled = False
        self._is_source_disconnected = False
        self._next_retry_s = RETRY_S
        self.is_loaded = False

    @abc.abstractmethod
    def load(self, entries_by_key):
        """Take all entries that are there now."""

    @abc.abstractmethod
    def change(self, change):
        """Take one change."""

    def start(self, neighbours=None, local_feeds=None):
        """Begin to follow.

        Parameters
        ----------
        neighbours : neighbours.Neighbours, optional
            Who may tell what changes.
        fed : feeds.Feeds, optional
            Takes what the store itself tells, for others.
        """
        self._neighbours = neighbours
        self._feed = (
            local_feeds.feed(self._prefix) if local_feeds else feeds.Feed()
        )
        self._task = asyncio.create_task(self._follow())
        self._store.listen_regained(self.restart)

    async def stop(self):
        """Follow no more."""
        task, self._task = self._task, None
        await tasks.stop(task)

    def restart(self):
        """Give up a watch that may hang, and read anew."""
        if self._task:
            self._feed.suspend()
            self._task.cancel()
            self._task = asyncio.create_task(self._follow())
            self.regained()

    async def _follow(self):
        """Read the whole, then watch, until a watch ends badly.

        A watch that follows a lost one could miss what changed while the
        store was in trouble; a whole read can't.
        """
        while True:
            self._source = self._find_source()
            try:
                await self._load_and_watch()
            except stores.HistoryGone:
                _LOG.log("history-gone", prefix=self._prefix)
            except feeds.FeedUnavailable as error:
                self._is_source_disconnected = isinstance(
                    error, feeds.FeedDisconnected
                )
                if not self._neighbours.failed(self._source, error):
                    await asyncio.sleep(NEIGHBOUR_RETRY_S)
            except exceptions.AnvilwellError as error:
                self._log_lost(error)
                await asyncio.sleep(self._retry_s())

    def _retry_s(self):
        """Return how long to wait before the next try, in seconds."""
        wait_s = self._next_retry_s
        self._next_retry_s = min(MAX_RETRY_S, 2 * wait_s)
        return wait_s * (1 - JITTER_SHARE * random.random())

    @property
    def is_fed_by_neighbour(self):
        """Whether a neighbour that reaches the store tells what changes."""
        return self._source is not None and not self._is_source_disconnected

    def _find_source(self):
        """Return who tells what changes, None for the store itself."""
        return self._neighbours and self._neighbours.find()

    async def _load_and_watch(self):
        """Read the whole, then watch, by the one who is to be asked."""
        revision = await self._load(self._source)
        if self._neighbours and not self._has_settled:
            await self._neighbours.settle()
            self._has_settled = True
        while True:
            previous, self._source = self._source, self._find_source()
            if previous and not self._source:
                return
            revision = await self._watch(self._source, revision)
            self._revision = revision
            if not self._source:
                await asyncio.sleep(self.coalesce_s)

    async def _load(self, neighbour):
        if neighbour:
            self._feed.stop_serving()
            snapshot = await neighbour.get_prefix(self._prefix)
        else:
            snapshot = await self._store.get_prefix(self._prefix)
        self._regained()
        self._is_source_disconnected = False
        self._next_retry_s = RETRY_S
        if snapshot.revision < (self._revision or 0):
            raise _stale_read_error(neighbour)
        if not neighbour:
            self._feed.reset(snapshot)
        self._revision = snapshot.revision
        self._revisions_by_key = {
            key: entry.revision
            for key, entry in snapshot.entries_by_key.items()
        }
        self.load(snapshot.entries_by_key)
        self.is_loaded = True
        return snapshot.revision

    async def _watch(self, neighbour, revision):
        if neighbour:
            self._feed.stop_serving()
            seen = await neighbour.watch(self._prefix, revision)
        else:
            seen = await self._store.watch(
                self._prefix, revision, WATCH_WAIT_S
            )
        self._is_source_disconnected = False
        fresh = [
            change
            for change in seen.changes
            if change.revision > self._revisions_by_key.get(change.key, 0)
        ]
        for change in fresh:
            self._revisions_by_key[change.key] = change.revision
            self.change(change)
        if not neighbour:
            self._feed.add(fresh, max(revision, seen.revision))
        return max(revision, seen.revision)

    def _log_lost(self, error):
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


def _stale_read_error(neighbour):
    """Return the error for a read that is older than what is known."""
    message = "the read is an old one"
    if neighbour:
        return feeds.FeedUnavailable(message)
    return exceptions.KeyValueUnavailable(message)
