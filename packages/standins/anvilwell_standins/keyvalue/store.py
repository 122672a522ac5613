"""A linearizable store with revisions, leases and history."""

import collections
import itertools
import threading
import typing

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
import sortedcontainers

MAX_HISTORY = 100_000
MAX_VALUE_BYTES = 1 << 20
_NO_END = b"\0"
_FIRST_LEASE = 7587860000000000000


class Item(typing.NamedTuple):
    """A key's value and its revisions."""

    key: bytes
    value: bytes
    created: int
    modified: int
    version: int
    lease: int


class Event(typing.NamedTuple):
    """One change of one key; None where the key did not exist."""

    revision: int
    key: bytes
    before: Item | None
    after: Item | None


class Lease(typing.NamedTuple):
    """A lease and the time at which it lapses."""

    lease_id: int
    ttl_s: int
    deadline: float


class Compacted(exceptions.AnvilwellError):
    """A watch asked for changes that are no longer kept."""

    reason = reasons.Refusal.BAD_REQUEST
    status = 400


class Store:
    """All state of the service under one lock.

    Parameters
    ----------
    clock : clock.Clock
        Source of monotonic time, for the leases.
    on_write : callable, optional
        Called with each `Event`, in order.
    """

    def __init__(self, clock, on_write=None):
        self.changed = threading.Condition(threading.RLock())
        self.revision = 1
        self.compacted = 0
        self._clock = clock
        self._on_write = on_write or (lambda event: None)
        self._items_by_key = sortedcontainers.SortedDict()
        self._leases_by_id = {}
        self._history = collections.deque()
        self._lease_ids = itertools.count(_FIRST_LEASE)

    def range(self, key, range_end=b""):
        """Return the items from `key` up to `range_end`, by key."""
        self.expire()
        return self._select(key, range_end)

    def begin(self):
        """Take the next revision, for the writes of one call."""
        self.revision += 1
        return self.revision

    def put(self, key, value, lease, revision):
        """Write one key at `revision`.

        Raises
        ------
        exceptions.NotFound
            If `lease` is not 0 and there is no such lease.
        """
        self.check_put(value, lease)
        before = self._items_by_key.get(key)
        after = Item(
            key,
            value,
            before.created if before else revision,
            revision,
            before.version + 1 if before else 1,
            lease,
        )
        self._items_by_key[key] = after
        self._log(Event(revision, key, before, after))

    def check_put(self, value, lease):
        """Refuse a value that is too large or a lease that lapsed."""
        if len(value) > MAX_VALUE_BYTES:
            raise exceptions.BadRequest(
                f"value has {len(value)} bytes, limit {MAX_VALUE_BYTES}"
            )
        if lease:
            self._lease(lease)

    def delete(self, key, range_end, revision):
        """Delete the keys of the range; return how many."""
        doomed = self._select(key, range_end)
        for item in doomed:
            del self._items_by_key[item.key]
            self._log(Event(revision, item.key, item, None))
        return len(doomed)

    def grant(self, ttl_s, lease_id=0):
        """Return a new `Lease`."""
        lease_id = lease_id or next(self._lease_ids)
        ttl_s = max(1, ttl_s)
        lease = Lease(lease_id, ttl_s, self._clock.monotonic() + ttl_s)
        self._leases_by_id[lease_id] = lease
        return lease

    def keep_alive(self, lease_id):
        """Renew a lease; return its seconds, 0 if it lapsed."""
        self.expire()
        lease = self._leases_by_id.get(lease_id)
        return self.grant(lease.ttl_s, lease_id).ttl_s if lease else 0

    def revoke(self, lease_id):
        """End a lease and delete its keys."""
        self._lease(lease_id)
        del self._leases_by_id[lease_id]
        self._drop_keys(lease_id)

    def expire(self):
        """End the leases whose time is over."""
        now = self._clock.monotonic()
        lapsed = [
            lease.lease_id
            for lease in self._leases_by_id.values()
            if lease.deadline <= now
        ]
        for lease_id in lapsed:
            del self._leases_by_id[lease_id]
            self._drop_keys(lease_id)

    def events_since(self, revision, key, range_end):
        """Return the events of the range from `revision` on, in order.

        Raises
        ------
        Compacted
            If some of them are no longer kept.
        """
        if revision <= self.compacted:
            raise Compacted(
                f"revision {revision} is compacted; the oldest kept is "
                f"{self.compacted + 1}"
            )
        recent = itertools.takewhile(
            lambda event: event.revision >= revision, reversed(self._history)
        )
        wanted = [
            event
            for event in recent
            if event.key == key or _is_within(event.key, key, range_end)
        ]
        return wanted[::-1]

    def compact(self, revision):
        """Forget the changes up to `revision`."""
        self.compacted = max(self.compacted, min(revision, self.revision))
        while self._history and self._history[0].revision <= self.compacted:
            self._history.popleft()

    def roll_back(self, revision):
        """Return to the data of an older `revision`, as a bad restore."""
        revision = max(revision, self.compacted + 1)
        while self._history and self._history[-1].revision > revision:
            event = self._history.pop()
            if event.before:
                self._items_by_key[event.key] = event.before
            else:
                self._items_by_key.pop(event.key, None)
        self.revision = min(self.revision, revision)
        self.changed.notify_all()

    def _select(self, key, range_end):
        if not range_end:
            item = self._items_by_key.get(key)
            return [item] if item else []
        last = None if range_end == _NO_END else range_end
        keys = self._items_by_key.irange(key, last, (True, False))
        return [self._items_by_key[key] for key in keys]

    def _lease(self, lease_id):
        try:
            return self._leases_by_id[lease_id]
        except KeyError:
            raise exceptions.NotFound(
                "etcdserver: requested lease not found"
            ) from None

    def _drop_keys(self, lease_id):
        doomed = [
            item
            for item in self._items_by_key.values()
            if item.lease == lease_id
        ]
        if not doomed:
            return
        revision = self.begin()
        for item in doomed:
            self.delete(item.key, b"", revision)

    def _log(self, event):
        self._history.append(event)
        if len(self._history) > MAX_HISTORY:
            self.compact(self._history[0].revision)
        self._on_write(event)
        self.changed.notify_all()


def _is_within(key, start, end):
    if not end:
        return False
    return start <= key and (end == _NO_END or key < end)
