"""Follows a prefix of the store: one full read, then watches for changes."""

import abc
import asyncio

from anvilwell_gateway import feeds
from anvilwell_gateway import read_retries
from anvilwell_gateway import store as stores
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# How long a watch waits for a change, in seconds. A waiting watch counts as
# one call, so longer waits mean fewer calls. The store keeps 20 s of history,
# and a watch without changes has to return within that time.
WATCH_WAIT_S = 15.0
# Changes that arrive within this time are fetched with one call, in seconds.
# It is a quarter of the time that a change may take to arrive.
COALESCE_S = 0.25
# Wait before asking a neighbour that does not reach the store again, in
# seconds: a little more than the interval of its own retries.
NEIGHBOUR_RETRY_S = 0.1

_LOG = logs.get_logger(__name__)


class PrefixFollower(abc.ABC):
    """Keeps a local copy of the keys under one prefix.

    A subclass receives full reads through ``load`` and single changes through
    ``change``; it never receives data older than what it received before.
    Changes that arrive within ``coalesce_s`` seconds are fetched with one
    call. While the store does not answer, it is asked at least every
    ``max_retry_s`` seconds.

    The data come from the store itself, or from a neighbouring entry that
    watches the store.
    """

    coalesce_s = COALESCE_S
    max_retry_s = read_retries.MAX_WAIT_S

    def __init__(self, store, prefix):
        self._store = store
        self._prefix = prefix
        self._revisions_by_key = {}
        self._task = None
        self._revision = None
        self._is_lost = False
        self._lost_at = 0.0
        self._neighbours = None
        self._feed = None
        self._source = None
        self._has_settled = False
        self._is_source_disconnected = False
        self._retries = None
        self.is_loaded = False

    @abc.abstractmethod
    def load(self, entries_by_key):
        """Replace the local copy by all current keys and values."""

    @abc.abstractmethod
    def change(self, change):
        """Apply one change to the local copy."""

    def start(self, neighbours=None, local_feeds=None):
        """Start following the prefix.

        Parameters
        ----------
        neighbours : neighbours.Neighbours, optional
            Finds the neighbouring entry to follow instead of the store.
        local_feeds : feeds.Feeds, optional
            Receives what this process reads from the store, so that it can
            serve it to its neighbours.
        """
        self._neighbours = neighbours
        self._feed = (
            local_feeds.feed(self._prefix) if local_feeds else feeds.Feed()
        )
        self._retries = read_retries.ReadRetries(self._store, self.max_retry_s)
        self._task = asyncio.create_task(self._follow())
        self._store.listen_regained(self.restart)

    async def stop(self):
        """Stop following the prefix."""
        task, self._task = self._task, None
        await tasks.stop(task)

    def restart(self):
        """Cancel the current watch, which may hang, and read all keys."""
        if self._task:
            self._feed.suspend()
            self._task.cancel()
            self._task = asyncio.create_task(self._follow())
            self.regained()

    async def _follow(self):
        """Read all keys, then watch; start over whenever a watch fails.

        A new watch after a failed one could miss changes made during an outage
        of the store; a full read can't.
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
                await self._wait_to_retry(error.message)
            except Exception as error:
                # A fault in what reacts to changes must not end the watch.
                _LOG.log(
                    "follower-failed", prefix=self._prefix, cause=repr(error)
                )
                await self._wait_to_retry(repr(error))

    async def _wait_to_retry(self, cause):
        """Wait until the next attempt to read the prefix."""
        _LOG.routine("read-retried", prefix=self._prefix, cause=cause)
        await self._retries.wait()

    @property
    def copy_age_s(self):
        """The time since the local copy was known to be complete, in seconds.

        It is infinite before the first read, and for a process that serves
        no neighbours.
        """
        return self._feed.age_s if self._feed else float("inf")

    @property
    def is_fed_by_neighbour(self):
        """Whether a neighbour that reaches the store serves the changes."""
        return self._source is not None and not self._is_source_disconnected

    def _find_source(self):
        """Return the neighbour to follow, or None for the store itself."""
        return self._neighbours and self._neighbours.find()

    async def _load_and_watch(self):
        """Read all keys from the current source, then watch for changes."""
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
        self._retries.succeeded()
        if snapshot.revision < (self._revision or 0):
            raise _stale_read_error(neighbour)
        if neighbour:
            self._feed.confirm(snapshot.age_s)
        else:
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
            seen = await self._watch_store(revision)
        self._is_source_disconnected = False
        self._apply_changes(seen.changes)
        if neighbour:
            self._feed.confirm(seen.age_s)
        else:
            # Neighbours need every change, also those known here already.
            self._feed.add(seen.changes, max(revision, seen.revision))
        return max(revision, seen.revision)

    async def _watch_store(self, revision):
        """Return the `stores.Changes` after `revision`, possibly none."""
        self._feed.begin_watch()
        try:
            return await self._store.watch(
                self._prefix, revision, WATCH_WAIT_S
            )
        except BaseException:
            self._feed.end_watch()
            raise

    def _apply_changes(self, changes):
        """Apply the changes that are newer than the local copy."""
        for change in changes:
            if change.revision > self._revisions_by_key.get(change.key, 0):
                self._revisions_by_key[change.key] = change.revision
                self.change(change)

    async def read_newest(self, key):
        """Return the store's `keyvalue.Entry` of a key, beside the watch.

        The caller applies it to the local copy, as the watch doesn't do so
        again. Neighbours receive it once the watch returns it.

        Returns
        -------
        keyvalue.Entry or None
            None if there is none, or one older than the local copy.

        Raises
        ------
        exceptions.KeyValueUnavailable
            If the store can't be reached.
        """
        entry = await self._store.get(key)
        if entry and entry.revision >= self._revisions_by_key.get(key, 0):
            self._revisions_by_key[key] = entry.revision
            return entry
        return None

    def _log_lost(self, error):
        if not self._is_lost:
            self._is_lost = True
            self._lost_at = asyncio.get_running_loop().time()
            _LOG.log("store-lost", prefix=self._prefix, cause=error.message)

    def _regained(self):
        if self._is_lost:
            self._is_lost = False
            now = asyncio.get_running_loop().time()
            _LOG.log(
                "store-regained",
                prefix=self._prefix,
                lost_s=now - self._lost_at,
            )
            self.regained()

    def regained(self):
        """React to the store's first answer after an outage."""


def _stale_read_error(neighbour):
    """Return the error for a read that is older than the local copy."""
    message = "the read is older than the local copy"
    if neighbour:
        return feeds.FeedUnavailable(message)
    return exceptions.KeyValueUnavailable(message)
