"""Stored records of requests that must be executed at most once."""

import enum
import hashlib
import typing

# Records are spread over this many prefixes of the store's keys.
SHARDS = 64
# Response bodies of more bytes than this are not stored with the outcome.
MAX_BODY_BYTES = 4096
KEY_PREFIX = "anvilwell/claim"
_SEPARATOR = b"\x00"


class State(enum.StrEnum):
    """The state of the only execution of an idempotency key."""

    CLAIMED = "claimed"
    UNKNOWN = "unknown"
    RAN = "ran"


class RecordedOutcome(typing.NamedTuple):
    """A complete response; ``body`` is empty if it was too large to store."""

    status: int
    content_type: str = ""
    body: bytes = b""
    is_body_kept: bool = True


class Record(typing.NamedTuple):
    """The record of one idempotency key.

    ``claim_id`` identifies the one request that may be forwarded. ``owner`` is
    the entry that claimed the key, with its incarnation. ``digest`` is the
    digest of the request, to detect a key that is reused for another request.
    """

    claim_id: str
    owner: str
    digest: str
    state: State = State.CLAIMED
    outcome: RecordedOutcome | None = None


class StoredRecord(typing.NamedTuple):
    """A record with its revision in the store."""

    record: Record
    revision: int


def store_key(service, team, key):
    """Return the store key for a caller's idempotency key.

    Equal keys of different services or teams get different store keys. The
    caller's key is hashed, as it may contain confidential data that must not
    appear in listings.
    """
    name = _SEPARATOR.join(p.encode() for p in (service, team, key))
    digest = hashlib.blake2b(name, digest_size=16).hexdigest()
    shard = int(digest[:8], 16) % SHARDS
    return f"{KEY_PREFIX}/{shard:02d}/{digest}"


def request_digest(method, path, body):
    """Return a digest that distinguishes requests with the same key."""
    parts = (method.encode(), path.encode(), body)
    sized = b"".join(len(p).to_bytes(8, "big") + p for p in parts)
    return hashlib.blake2b(sized, digest_size=16).hexdigest()


def bounded_outcome(status, content_type, body):
    """Return the `RecordedOutcome`, without the body if it is too large."""
    if len(body) <= MAX_BODY_BYTES:
        return RecordedOutcome(status, content_type, body)
    return RecordedOutcome(status, content_type, b"", False)
