"""The platform's key-value service, the only place for agreement."""

import abc
import enum
import typing


class Purpose(enum.StrEnum):
    """What a call is for; every call is metered by purpose."""

    CONFIGURATION = "configuration"
    MEMBERSHIP = "membership"
    LEASE = "lease"
    LEDGER = "ledger"
    CLAIM = "claim"
    ROLLOUT = "rollout"
    OPERATOR = "operator"


class Entry(typing.NamedTuple):
    """A key's value; ``revision`` is its last change, ``lease`` 0 if none."""

    key: str
    value: bytes
    revision: int
    lease: int = 0


class Snapshot(typing.NamedTuple):
    """Entries read at one revision of the store."""

    entries_by_key: dict
    revision: int


class Swap(typing.NamedTuple):
    """A conditional write of one key.

    ``expected`` is the key's last known revision; 0 means the key must
    not exist. A ``value`` of None deletes the key.
    """

    key: str
    expected: int
    value: bytes | None
    lease: int = 0


class Guard(typing.NamedTuple):
    """A condition on a key that a `KeyValue.swap` leaves as it is.

    ``expected`` is as in `Swap`.
    """

    key: str
    expected: int


class SwapResult(typing.NamedTuple):
    """Whether all swaps landed, and the entries there are if not.

    The entries of keys that were only guarded are not among them.
    """

    landed: bool
    revision: int
    entries_by_key: dict


class Change(typing.NamedTuple):
    """One change seen by a watch; ``value`` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


class Watch(abc.ABC):
    """Iterates over each `Change`; a waiting watch counts as a call."""

    def __iter__(self):
        """Return itself."""
        return self

    @abc.abstractmethod
    def __next__(self):
        """Return the next `Change`; may wait."""

    @abc.abstractmethod
    def close(self):
        """End the watch, also for a reader that waits on a thread."""


class KeyValue(abc.ABC):
    """Linearizable store; every call blocks and takes a timeout.

    Every method raises ``exceptions.KeyValueUnavailable``; its verdict
    is ``NOT_RUN`` only if the call certainly never reached the store.
    """

    @abc.abstractmethod
    def get(self, key, *, purpose, timeout_s):
        """Return the `Entry` of `key`, or None."""

    @abc.abstractmethod
    def get_prefix(self, prefix, *, purpose, timeout_s):
        """Return the `Snapshot` of all keys with `prefix`."""

    @abc.abstractmethod
    def swap(self, swaps, *, purpose, timeout_s):
        """Apply all `swaps` or none, and return a `SwapResult`.

        `swaps` may hold `Guard`s too: if one fails, nothing lands.
        """

    @abc.abstractmethod
    def grant(self, ttl_s, *, purpose, timeout_s):
        """Return the id of a new lease of `ttl_s` seconds."""

    @abc.abstractmethod
    def keep_alive(self, lease, *, purpose, timeout_s):
        """Renew `lease`; return seconds granted, 0 if it has lapsed."""

    @abc.abstractmethod
    def revoke(self, lease, *, purpose, timeout_s):
        """End `lease` and delete its keys."""

    @abc.abstractmethod
    def watch(self, prefix, from_revision, *, purpose, timeout_s):
        """Return a `Watch` of `prefix`; it ends on `timeout_s` idle."""
