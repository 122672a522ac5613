"""The JSON bodies of the etcd v3 gateway that are understood."""

import base64
import typing

import pydantic

MAX_OPERATIONS = 128

Base64 = typing.Annotated[
    bytes, pydantic.BeforeValidator(lambda text: base64.b64decode(text))
]
Int64 = typing.Annotated[int, pydantic.Field(strict=False)]


class RangeRequest(typing.NamedTuple):
    """Reads one key, or all up to `range_end`."""

    key: Base64
    range_end: Base64 = b""
    limit: Int64 = 0
    serializable: bool = False
    keys_only: bool = False


class PutRequest(typing.NamedTuple):
    """Writes one key."""

    key: Base64
    value: Base64 = b""
    lease: Int64 = 0


class DeleteRequest(typing.NamedTuple):
    """Deletes one key, or all up to `range_end`."""

    key: Base64
    range_end: Base64 = b""


class Compare(typing.NamedTuple):
    """A condition on one key."""

    key: Base64
    target: typing.Literal["VERSION", "CREATE", "MOD", "VALUE", "LEASE"] = (
        "VERSION"
    )
    result: typing.Literal["EQUAL", "GREATER", "LESS", "NOT_EQUAL"] = "EQUAL"
    version: Int64 = 0
    create_revision: Int64 = 0
    mod_revision: Int64 = 0
    value: Base64 = b""
    lease: Int64 = 0


class Operation(typing.NamedTuple):
    """One of a transaction's operations; exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None


class TxnRequest(typing.NamedTuple):
    """All of `success` if every comparison holds, else `failure`."""

    compare: typing.Annotated[
        list[Compare], pydantic.Field(max_length=MAX_OPERATIONS)
    ] = []
    success: typing.Annotated[
        list[Operation], pydantic.Field(max_length=MAX_OPERATIONS)
    ] = []
    failure: typing.Annotated[
        list[Operation], pydantic.Field(max_length=MAX_OPERATIONS)
    ] = []


class LeaseRequest(typing.NamedTuple):
    """Grants, renews or revokes a lease; zero chooses an id."""

    ID: Int64 = 0
    TTL: Int64 = 0


class CompactRequest(typing.NamedTuple):
    """Forgets the changes up to `revision`."""

    revision: Int64


class WatchCreate(typing.NamedTuple):
    """Watches one key, or all up to `range_end`."""

    key: Base64
    range_end: Base64 = b""
    start_revision: Int64 = 0
    progress_notify: bool = False


class WatchRequest(typing.NamedTuple):
    """Starts a watch."""

    create_request: WatchCreate


RANGE = pydantic.TypeAdapter(RangeRequest)
PUT = pydantic.TypeAdapter(PutRequest)
DELETE = pydantic.TypeAdapter(DeleteRequest)
TXN = pydantic.TypeAdapter(TxnRequest)
LEASE = pydantic.TypeAdapter(LeaseRequest)
COMPACT = pydantic.TypeAdapter(CompactRequest)
WATCH = pydantic.TypeAdapter(WatchRequest)


def encode_item(item):
    """Return a key's JSON form; 64-bit numbers are strings."""
    body = {
        "key": base64.b64encode(item.key).decode(),
        "create_revision": str(item.created),
        "mod_revision": str(item.modified),
        "version": str(item.version),
        "value": base64.b64encode(item.value).decode(),
    }
    if item.lease:
        body["lease"] = str(item.lease)
    return body


def encode_event(event):
    """Return a change's JSON form."""
    if event.after:
        return {"kv": encode_item(event.after)}
    key = base64.b64encode(event.key).decode()
    kv = {"key": key, "mod_revision": str(event.revision)}
    return {"type": "DELETE", "kv": kv}
