"""Port to the platform's key-value service.

It is the only system through which processes reach agreement.
"""

import abc
import enum
import typing


class Purpose(enum.StrEnum):
    """Purpose of a call; calls are counted separately for each."""

    CONFIGURATION = "configuration"
    MEMBERSHIP = "membership"
    LEASE = "lease"
    LEDGER = "ledger"
    CLAIM = "claim"
    ROLLOUT = "rollout"
    OPERATOR = "operator"


class Entry(typing.NamedTuple):
    """A key and its value.

    ``revision`` is the store's revision at the key's last change.
    ``lease`` is the id of the lease that the key is attached to, or 0.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


class Snapshot(typing.NamedTuple):
    """Entries that were all read at one revision of the store.

    ``age_s`` is the time since they were known to be current, in seconds; 0
    for a read from the store itself.
    """

    entries_by_key: dict
    revision: int
    age_s: float = 0.0


class Swap(typing.NamedTuple):
    """A conditional write (compare and swap) of one key.

    ``expected`` is the revision that the key must still have; 0 means
    that it must not exist. A ``value`` of None deletes the key. If
    ``lease`` is not 0, the key is attached to that lease.
    """

    key: str
    expected: int
    value: bytes | None
    lease: int = 0


class Guard(typing.NamedTuple):
    """A condition on a key that `KeyValue.swap` checks but does not write.

    ``expected`` is as in `Swap`.
    """

    key: str
    expected: int


class SwapResult(typing.NamedTuple):
    """Result of a `KeyValue.swap`.

    ``landed`` says whether all swaps were applied. If not,
    ``entries_by_key`` holds the current entries of the keys to be
    swapped, without those that only had a `Guard`.
    """

    landed: bool
    revision: int
    entries_by_key: dict


class Change(typing.NamedTuple):
    """One change that a watch reports; ``value`` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


class Watch(abc.ABC):
    """Iterator over the `Change`s of a prefix.

    A watch that waits for changes counts as a call in progress.
    """

    def __iter__(self):
        """Return the watch itself."""
        return self

    @abc.abstractmethod
    def __next__(self):
        """Return the next `Change`; blocks until there is one."""

    @abc.abstractmethod
    def close(self):
        """End the watch, even while another thread waits for a change."""


class KeyValue(abc.ABC):
    """Blocking calls to a linearizable key-value store.

    Every method raises ``exceptions.KeyValueUnavailable`` if the call
    fails. The error's verdict is ``NOT_RUN`` only if it is certain that the
    call was not executed.
    """

    @abc.abstractmethod
    def get(self, key, *, purpose, timeout_s):
        """Return the `Entry` of `key`, or None."""

    @abc.abstractmethod
    def get_prefix(self, prefix, *, purpose, timeout_s):
        """Return a `Snapshot` of all keys that start with `prefix`."""

    @abc.abstractmethod
    def swap(self, swaps, *, purpose, timeout_s):
        """Apply all `swaps` or none, and return a `SwapResult`.

        `swaps` may also contain `Guard`s; if one of their conditions does
        not hold, nothing is written.
        """

    @abc.abstractmethod
    def grant(self, ttl_s, *, purpose, timeout_s):
        """Create a lease of `ttl_s` seconds and return its id."""

    @abc.abstractmethod
    def keep_alive(self, lease, *, purpose, timeout_s):
        """Renew `lease`; return its TTL in seconds, 0 if it has expired."""

    @abc.abstractmethod
    def revoke(self, lease, *, purpose, timeout_s):
        """End `lease` and delete the keys attached to it."""

    @abc.abstractmethod
    def watch(self, prefix, from_revision, *, purpose, timeout_s):
        """Return a `Watch` of the keys that start with `prefix`.

        It reports the changes from revision `from_revision` on, and ends
        after `timeout_s` seconds without a change.
        """
