"""What is recorded of a request that must run at most once."""

import enum
import hashlib
import typing

SHARDS = 64
MAX_BODY_BYTES = 4096
KEY_PREFIX = "anvilwell/claim"
_SEPARATOR = b"\x00"


class State(enum.StrEnum):
    """How far the one execution of a key has come."""

    CLAIMED = "claimed"
    UNKNOWN = "unknown"
    RAN = "ran"


class RecordedOutcome(typing.NamedTuple):
    """A whole answer; ``body`` is empty if it was too large to keep."""

    status: int
    content_type: str = ""
    body: bytes = b""
    is_body_kept: bool = True


class Record(typing.NamedTuple):
    """The record of one key.

    ``claim_id`` is unique to the one request that may be forwarded;
    ``owner`` names the entry and its incarnation; ``digest`` is that of
    the request, so that a key is not used for two different requests.
    """

    claim_id: str
    owner: str
    digest: str
    state: State = State.CLAIMED
    outcome: RecordedOutcome | None = None


class StoredRecord(typing.NamedTuple):
    """A record as it is kept, with its revision."""

    record: Record
    revision: int


def store_key(service, team, key):
    """Return where the record of a caller's idempotency key is kept.

    Keys of different services or teams never meet. The caller's key is
    hashed, as it may hold what must not be listed.
    """
    name = _SEPARATOR.join(p.encode() for p in (service, team, key))
    digest = hashlib.blake2b(name, digest_size=16).hexdigest()
    shard = int(digest[:8], 16) % SHARDS
    return f"{KEY_PREFIX}/{shard:02d}/{digest}"


def request_digest(method, path, body):
    """Return the digest that tells two requests of one key apart."""
    parts = (method.encode(), path.encode(), body)
    sized = b"".join(len(p).to_bytes(8, "big") + p for p in parts)
    return hashlib.blake2b(sized, digest_size=16).hexdigest()


def bounded_outcome(status, content_type, body):
    """Return the `Outcome`, without its body if that is too large."""
    if len(body) <= MAX_BODY_BYTES:
        return RecordedOutcome(status, content_type, body)
    return RecordedOutcome(status, content_type, b"", False)
