"""Request and response bodies of the JSON gateway of etcd v3."""

import base64
import typing

from anvilwell_kernel import exceptions
import pydantic
import typing_extensions

from anvilwell_outside.ports import keyvalue

Base64 = typing.Annotated[
    bytes, pydantic.BeforeValidator(lambda text: base64.b64decode(text))
]


class Header(typing_extensions.TypedDict, total=False):
    """Header of a response, with the store's revision."""

    revision: int


class KeyBody(typing_extensions.TypedDict, total=False):
    """A key and its value; the gateway omits fields that are zero."""

    key: typing_extensions.Required[Base64]
    value: Base64
    mod_revision: int
    lease: int


class RangeResponse(typing_extensions.TypedDict, total=False):
    """Response to a read of a range of keys."""

    header: typing_extensions.Required[Header]
    kvs: list[KeyBody]


class OperationResponse(typing_extensions.TypedDict, total=False):
    """Response to one operation of a transaction.

    Only reads have a field with data.
    """

    response_range: RangeResponse


class TxnResponse(typing_extensions.TypedDict, total=False):
    """Response to a transaction."""

    header: typing_extensions.Required[Header]
    succeeded: bool
    responses: list[OperationResponse]


class LeaseResponse(typing_extensions.TypedDict, total=False):
    """Id and TTL of a lease; the TTL is absent if the lease has expired."""

    ID: int
    TTL: int


class KeepAliveResponse(typing_extensions.TypedDict):
    """Response to the renewal of a lease."""

    result: LeaseResponse


class EventBody(typing_extensions.TypedDict, total=False):
    """One change; ``type`` is absent for a put."""

    kv: typing_extensions.Required[KeyBody]
    type: str


class WatchResult(typing_extensions.TypedDict, total=False):
    """Content of one message of a watch."""

    header: Header
    events: list[EventBody]
    canceled: bool
    compact_revision: int


class WatchResponse(typing_extensions.TypedDict):
    """One message of a watch, sent as a line."""

    result: WatchResult


RANGE = pydantic.TypeAdapter(RangeResponse)
TXN = pydantic.TypeAdapter(TxnResponse)
LEASE = pydantic.TypeAdapter(LeaseResponse)
KEEP_ALIVE = pydantic.TypeAdapter(KeepAliveResponse)
WATCH = pydantic.TypeAdapter(WatchResponse)


def encode_bytes(data):
    """Return `data` encoded in base64."""
    return base64.b64encode(data).decode()


def encode_key(key):
    """Return `key` encoded in base64."""
    return encode_bytes(key.encode())


def prefix_range(prefix):
    """Return the body of a read of all keys that start with `prefix`."""
    start = prefix.encode()
    end = start[:-1] + bytes([start[-1] + 1]) if start else b"\0"
    return {
        "key": encode_bytes(start or b"\0"),
        "range_end": encode_bytes(end),
    }


def swap_txn(swaps):
    """Return the body of a transaction that applies all `swaps` or none.

    If a comparison fails, the transaction reads the keys instead. A
    `keyvalue.Guard` is a comparison without an operation.
    """
    compare = [
        {
            "key": encode_key(swap.key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(swap.expected),
        }
        for swap in swaps
    ]
    applied = [one for one in swaps if not isinstance(one, keyvalue.Guard)]
    reads = [{"request_range": {"key": encode_key(s.key)}} for s in applied]
    writes = [_write(swap) for swap in applied]
    return {"compare": compare, "success": writes, "failure": reads}


def _write(swap):
    key = encode_key(swap.key)
    if swap.value is None:
        return {"request_delete_range": {"key": key}}
    put = {"key": key, "value": encode_bytes(swap.value)}
    if swap.lease:
        put["lease"] = str(swap.lease)
    return {"request_put": put}


def entry(body):
    """Convert a `KeyBody` into a `keyvalue.Entry`."""
    return keyvalue.Entry(
        _text(body["key"]),
        body.get("value", b""),
        body.get("mod_revision", 0),
        body.get("lease", 0),
    )


def change(event):
    """Convert an `EventBody` into a `keyvalue.Change`."""
    found = entry(event["kv"])
    deleted = event.get("type") == "DELETE"
    value = None if deleted else found.value
    return keyvalue.Change(found.key, value, found.revision)


def _text(key):
    try:
        return key.decode()
    except UnicodeDecodeError as error:
        raise exceptions.KeyValueUnavailable(
            f"a key is not UTF-8: {key!r}"
        ) from error
