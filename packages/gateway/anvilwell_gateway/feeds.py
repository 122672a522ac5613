"""What an entry that watches the store passes on to its neighbours.

Without this each process watches by itself, so calls to the store are
processes times changes. One entry a failure domain watches each prefix; it
is a cache with the store's revision, and what is written goes to the store
under conditions as before.
"""

import asyncio
import collections
import contextlib
import enum
import typing

import cbor2
import pydantic

from anvilwell_gateway import peer_calls
from anvilwell_kernel import exceptions
from anvilwell_outside.ports import keyvalue

TARGET = "/changes"
# Changes that are kept for followers that are behind. One that is further
# behind reads the whole.
MAX_CHANGES = 2000
# How long a question waits for a change, in seconds. A neighbour that went
# silent is noticed this much and a margin later, so that a change is in
# force within the two seconds that it may take.
WAIT_S = 1.0
# Between looks whether this entry is still in touch with the store.
CONTACT_CHECK_S = 0.2

# How a question can end, beside 200: the store is silent here.
_OUT_OF_TOUCH = 503


class FeedStatus(enum.StrEnum):
    """What an entry can tell of one prefix."""

    DATA = "told"
    # Nothing is new yet, or the prefix is being read anew.
    NOTHING = "nothing"
    FORGOTTEN = "forgotten"
    NOT_WATCHED = "not-watched"


class FeedUpdate(typing.NamedTuple):
    """What an entry tells of one prefix, up to the store's ``revision``."""

    outcome: FeedStatus
    entries: tuple[keyvalue.Entry, ...] = ()
    changes: tuple[keyvalue.Change, ...] = ()
    revision: int = 0


class ChangesRequest(typing.NamedTuple):
    """What a neighbour asks: the revision that it knows of each prefix.

    None asks for the whole. ``engine`` is the address of the engine beside
    the neighbour if that is an agent, else "".
    """

    revisions_by_prefix: dict[str, int | None]
    engine: str = ""


_REQUEST = pydantic.TypeAdapter(ChangesRequest)
_RESPONSE = pydantic.TypeAdapter(dict[str, FeedUpdate])


class FeedUnavailable(exceptions.KeyValueUnavailable):
    """The entry asked does not know the newest changes itself."""


class FeedDisconnected(FeedUnavailable):
    """The store has not answered the entry asked lately."""


class Feed:
    """One prefix as an entry knows it from the store itself."""

    def __init__(self, on_change=None):
        self._entries_by_key = {}
        self._changes = collections.deque()
        self._first = 0
        self._revision = 0
        self._on_change = on_change or _ignore
        self.is_complete = False
        self.is_watched = False

    def reset(self, snapshot):
        """Take a whole read; what led to it is not known."""
        self._entries_by_key = dict(snapshot.entries_by_key)
        self._changes.clear()
        self._first = self._revision = snapshot.revision
        self.is_complete = self.is_watched = True
        self._on_change()

    def add(self, changes, revision):
        """Take changes, and the revision that they lead to."""
        for change in changes:
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
        if changes:
            self._on_change()

    def suspend(self):
        """Tell nothing until the whole was read again."""
        self.is_complete = False

    def stop_serving(self):
        """Tell nothing any more: this entry is told by another now."""
        self.is_complete = self.is_watched = False

    def read_since(self, revision):
        """Return what there is to tell after `revision`, a `Told`.

        None asks for the whole.
        """
        if not self.is_watched:
            return FeedUpdate(FeedStatus.NOT_WATCHED)
        if not self.is_complete:
            return FeedUpdate(FeedStatus.NOTHING)
        if revision is None:
            entries = tuple(self._entries_by_key.values())
            return FeedUpdate(FeedStatus.DATA, entries, (), self._revision)
        if revision < self._first:
            return FeedUpdate(FeedStatus.FORGOTTEN)
        changes = tuple(c for c in self._changes if c.revision > revision)
        outcome = FeedStatus.DATA if changes else FeedStatus.NOTHING
        return FeedUpdate(outcome, (), changes, self._revision)


class Feeds:
    """Answers the neighbours' questions for changes.

    Parameters
    ----------
    is_current : callable
        Whether the store answered this entry lately.
    """

    def __init__(self, is_current):
        self._is_current = is_current
        self._changed = asyncio.Event()
        self._feeds_by_prefix = {}
        self._last_contact_at_by_engine = {}

    def last_contact_at(self, engine):
        """Return when the agent of an engine asked last, -inf if never."""
        return self._last_contact_at_by_engine.get(engine, float("-inf"))

    def feed(self, prefix):
        """Return the `Feed` of a prefix."""
        if prefix not in self._feeds_by_prefix:
            self._feeds_by_prefix[prefix] = Feed(self._wake)
        return self._feeds_by_prefix[prefix]

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def answer(self, request, responder):
        """Answer a neighbour's request."""
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
        """Return each `Told` once there is one, None while out of touch."""
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
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, CONTACT_CHECK_S)):
                    await changed.wait()
        return None


def read_request(body):
    """Return the `Question` in a request's body.

    Raises
    ------
    exceptions.BadRequest
        If it holds none.
    """
    return peer_calls.decode(_REQUEST, body, "question for changes")


def read_response(status, body):
    """Return each `Told` of an answer, as told_by_prefix.

    Raises
    ------
    NotFed
        If there is none; ``OutOfTouch`` if the store is the cause.
    """
    if status == _OUT_OF_TOUCH:
        raise FeedDisconnected("the neighbour does not reach the store")
    if status != 200:
        raise FeedUnavailable(f"the neighbour answered {status}")
    try:
        return _RESPONSE.validate_python(cbor2.loads(body))
    except (cbor2.CBORError, ValueError) as error:
        raise FeedUnavailable(f"the answer can't be read: {error}") from error


def _ignore():
    """Tell nobody."""
