"""Serves the store's changes to neighbours, which need not watch it.

If every process watched the store itself, the number of calls would be the
number of processes times the number of changes. Instead, one entry in each
failure domain watches each prefix and serves it to its neighbours. It acts as
a cache that keeps the store's revisions; conditional writes still go to the
store directly.
"""

import asyncio
import collections
import contextlib
import enum
import typing

import cbor2
import pydantic

from anvilwell_gateway import freshness as freshnesses
from anvilwell_gateway import peer_calls
from anvilwell_kernel import exceptions
from anvilwell_outside.ports import keyvalue

TARGET = "/changes"
# Number of changes kept for followers that lag behind. A follower that is
# further behind reads all keys again.
MAX_CHANGES = 2000
# How long a request waits for a change, in seconds. A neighbour that went
# silent is noticed after this time plus a margin, so that changes still take
# effect within their limit of two seconds.
WAIT_S = 1.0
# Interval at which a waiting request checks whether this entry is still in
# contact with the store, in seconds.
CONTACT_CHECK_S = 0.2

# HTTP status of the response, instead of 200, if the store does not answer
# this entry.
_OUT_OF_TOUCH = 503


class FeedStatus(enum.StrEnum):
    """What the feed of a prefix can return to a request."""

    DATA = "told"
    # There are no new changes, or the prefix is being read again.
    NOTHING = "nothing"
    FORGOTTEN = "forgotten"
    # Changes may be missing: the store has not confirmed the data for a while.
    OUTDATED = "outdated"
    NOT_WATCHED = "not-watched"


class FeedUpdate(typing.NamedTuple):
    """The keys or changes of one prefix, up to the store's ``revision``.

    ``age_s`` is the time since they were known to be complete, in seconds.
    """

    outcome: FeedStatus
    entries: tuple[keyvalue.Entry, ...] = ()
    changes: tuple[keyvalue.Change, ...] = ()
    revision: int = 0
    age_s: float = freshnesses.MAX_AGE_S


class ChangesRequest(typing.NamedTuple):
    """A neighbour's request for changes, with its revision of each prefix.

    A revision of None requests all keys. ``engine`` is the address of the
    engine beside the requesting process if that is an agent, else "".
    """

    revisions_by_prefix: dict[str, int | None]
    engine: str = ""


_REQUEST = pydantic.TypeAdapter(ChangesRequest)
_RESPONSE = pydantic.TypeAdapter(dict[str, FeedUpdate])


class FeedUnavailable(exceptions.KeyValueUnavailable):
    """The requested entry has no current data of the prefix."""


class FeedDisconnected(FeedUnavailable):
    """The requested entry has had no recent answer from the store.

    That is to any call, or to its watch of the prefix.
    """


class Feed:
    """A cache of one prefix as this entry reads it from the store.

    Parameters
    ----------
    on_change : callable, optional
        Called after each change.
    freshness : freshness.Freshness, optional
        Up to when the cache is complete, if it is served.
    """

    def __init__(self, on_change=None, freshness=None):
        self.freshness = freshness
        self._entries_by_key = {}
        self._changes = collections.deque()
        self._first = 0
        self._revision = 0
        self._on_change = on_change or _ignore
        self.is_complete = False
        self.is_watched = False

    @property
    def age_s(self):
        """The time since the copy was known to be complete, in seconds."""
        return self.freshness.age_s if self.freshness else float("inf")

    def reset(self, snapshot):
        """Replace the cache by a full read.

        The changes that led to it are not known.
        """
        self._entries_by_key = dict(snapshot.entries_by_key)
        self._changes.clear()
        self._first = self._revision = snapshot.revision
        self.is_complete = self.is_watched = True
        self._received()
        self._on_change()

    def _received(self):
        if self.freshness:
            self.freshness.received()

    def begin_watch(self):
        """Record that a watch of the store was sent."""
        if self.freshness:
            self.freshness.watch_began()

    def end_watch(self):
        """Record that the watch of the store failed."""
        if self.freshness:
            self.freshness.watch_failed()

    @property
    def is_outdated(self):
        """Whether changes may be missing for too long already."""
        return self.freshness is not None and self.freshness.has_expired

    def add(self, changes, revision):
        """Apply the `changes` after the last revision, up to `revision`."""
        fresh = [
            change for change in changes if change.revision > self._revision
        ]
        for change in fresh:
            self._changes.append(change)
            if change.value is None:
                self._entries_by_key.pop(change.key, None)
            else:
                self._entries_by_key[change.key] = keyvalue.Entry(
                    change.key, change.value, change.revision
                )
        while len(self._changes) > MAX_CHANGES:
            self._first = self._changes.popleft().revision
        self._revision = revision
        self._received()
        if fresh:
            self._on_change()

    def suspend(self):
        """Return no data until the next full read."""
        self.is_complete = False

    def stop_serving(self):
        """Stop serving the prefix, as this entry now follows a neighbour."""
        self.is_complete = self.is_watched = False

    def confirm(self, age_s):
        """Record that a neighbour sent all that it knew `age_s` ago."""
        if self.freshness:
            self.freshness.received(age_s)

    def read_since(self, revision):
        """Return a `FeedUpdate` with the changes after `revision`.

        A `revision` of None requests all keys.
        """
        if not self.is_watched:
            return FeedUpdate(FeedStatus.NOT_WATCHED)
        if self.is_outdated and (revision is None or not self.is_complete):
            return FeedUpdate(FeedStatus.OUTDATED)
        if not self.is_complete:
            # Without a revision: the follower may lack changes up to it.
            return FeedUpdate(FeedStatus.NOTHING, age_s=float("inf"))
        if revision is None:
            entries = tuple(self._entries_by_key.values())
            return self._update(FeedStatus.DATA, entries)
        if revision < self._first:
            return FeedUpdate(FeedStatus.FORGOTTEN)
        changes = tuple(c for c in self._changes if c.revision > revision)
        if not changes:
            return self._nothing_new()
        return self._update(FeedStatus.DATA, changes=changes)

    def _nothing_new(self):
        """Return the `FeedUpdate` without changes, if that is certain."""
        if self.is_outdated:
            return FeedUpdate(FeedStatus.OUTDATED)
        return self._update(FeedStatus.NOTHING)

    def _update(self, outcome, entries=(), changes=()):
        return FeedUpdate(
            outcome, entries, changes, self._revision, max(0.0, self.age_s)
        )


class Feeds:
    """Answers the neighbours' requests for changes.

    Parameters
    ----------
    is_current : callable
        Returns whether the store answered this entry recently.
    contact : freshness.StoreContact
        How this entry learns whether the store answers.
    """

    def __init__(self, is_current, contact):
        self._is_current = is_current
        self._contact = contact
        self._changed = asyncio.Event()
        self._feeds_by_prefix = {}
        self._last_contact_at_by_engine = {}

    def last_contact_at(self, engine):
        """Return when an engine's agent last requested changes, or -inf."""
        return self._last_contact_at_by_engine.get(engine, float("-inf"))

    def feed(self, prefix):
        """Return the `Feed` of a prefix."""
        if prefix not in self._feeds_by_prefix:
            self._feeds_by_prefix[prefix] = Feed(
                self._wake, freshnesses.Freshness(self._contact)
            )
        return self._feeds_by_prefix[prefix]

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def answer(self, request, responder):
        """Answer a neighbour's request for changes."""
        query = read_request(request.body)
        if query.engine:
            now = asyncio.get_running_loop().time()
            self._last_contact_at_by_engine[query.engine] = now
        updates_by_prefix = await self._wait(query.revisions_by_prefix)
        if updates_by_prefix is None:
            await responder.send(_OUT_OF_TOUCH)
            return
        await responder.send(200, (), cbor2.dumps(updates_by_prefix))

    async def _wait(self, revisions_by_prefix):
        """Wait for an update of any prefix; return updates_by_prefix.

        Returns after ``WAIT_S`` at the latest, and None if this entry has had
        no recent answer from the store.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + WAIT_S
        while self._is_current():
            changed = self._changed
            updates_by_prefix = {
                prefix: self.feed(prefix).read_since(revision)
                for prefix, revision in revisions_by_prefix.items()
            }
            outcomes = {
                update.outcome for update in updates_by_prefix.values()
            }
            left_s = until - loop.time()
            if outcomes != {FeedStatus.NOTHING} or left_s <= 0:
                return updates_by_prefix
            next_check_at = min(
                until,
                loop.time() + CONTACT_CHECK_S,
                *self._expiry_times(revisions_by_prefix),
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(next_check_at):
                    await changed.wait()
        return None

    def _expiry_times(self, prefixes):
        """Return when the feeds of some prefixes may become outdated."""
        return [self.feed(prefix).freshness.expires_at for prefix in prefixes]


def read_request(body):
    """Return the `ChangesRequest` in a request's body.

    Raises
    ------
    exceptions.BadRequest
        If the body is not a valid request for changes.
    """
    return peer_calls.decode(_REQUEST, body, "request for changes")


def read_response(status, body):
    """Return updates_by_prefix, each a `FeedUpdate`, from a response.

    Raises
    ------
    FeedUnavailable
        If the response has none; ``FeedDisconnected`` if the neighbour has
        lost contact with the store.
    """
    if status == _OUT_OF_TOUCH:
        raise FeedDisconnected("the neighbour has lost contact with the store")
    if status != 200:
        raise FeedUnavailable(f"the neighbour answered {status}")
    try:
        return _RESPONSE.validate_python(cbor2.loads(body))
    except (cbor2.CBORError, ValueError) as error:
        raise FeedUnavailable(f"can't decode the response: {error}") from error


def _ignore():
    """Do nothing on a change."""
