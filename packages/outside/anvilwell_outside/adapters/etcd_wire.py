"""Bodies of the etcd v3 JSON gateway."""

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
    """Header of an answer; the store's revision."""

    revision: int


class KeyBody(typing_extensions.TypedDict, total=False):
    """A key as the gateway shows it; zero fields are left out."""

    key: typing_extensions.Required[Base64]
    value: Base64
    mod_revision: int
    lease: int


class RangeResponse(typing_extensions.TypedDict, total=False):
    """Answer to a range."""

    header: typing_extensions.Required[Header]
    kvs: list[KeyBody]


class OperationResponse(typing_extensions.TypedDict, total=False):
    """Answer to one operation; only ranges carry data."""

    response_range: RangeResponse


class TxnResponse(typing_extensions.TypedDict, total=False):
    """Answer to a transaction."""

    header: typing_extensions.Required[Header]
    succeeded: bool
    responses: list[OperationResponse]


class LeaseResponse(typing_extensions.TypedDict, total=False):
    """A lease's id and seconds; no seconds if it has lapsed."""

    ID: int
    TTL: int


class KeepAliveResponse(typing_extensions.TypedDict):
    """Answer to a renewal."""

    result: LeaseResponse


class EventBody(typing_extensions.TypedDict, total=False):
    """One change; ``type`` is left out for a put."""

    kv: typing_extensions.Required[KeyBody]
    type: str


class WatchResult(typing_extensions.TypedDict, total=False):
    """One message of a watch."""

    header: Header
    events: list[EventBody]
    canceled: bool
    compact_revision: int


class WatchResponse(typing_extensions.TypedDict):
    """One line of a watch."""

    result: WatchResult


RANGE = pydantic.TypeAdapter(RangeResponse)
TXN = pydantic.TypeAdapter(TxnResponse)
LEASE = pydantic.TypeAdapter(LeaseResponse)
KEEP_ALIVE = pydantic.TypeAdapter(KeepAliveResponse)
WATCH = pydantic.TypeAdapter(WatchResponse)


def encode_bytes(data):
    """Return `data` in base64."""
    return base64.b64encode(data).decode()


def encode_key(key):
    """Return a key in base64."""
    return encode_bytes(key.encode())


def prefix_range(prefix):
    """Return the body of a range over all keys with `prefix`."""
    start = prefix.encode()
    end = start[:-1] + bytes([start[-1] + 1]) if start else b"\0"
    return {
        "key": encode_bytes(start or b"\0"),
        "range_end": encode_bytes(end),
    }


def swap_txn(swaps):
    """Return the body of a transaction that applies all `swaps` or none.

    A `keyvalue.Guard` is a comparison without an operation.
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
    """Return the port's `Entry` of a `KeyBody`."""
    return keyvalue.Entry(
        _text(body["key"]),
        body.get("value", b""),
        body.get("mod_revision", 0),
        body.get("lease", 0),
    )


def change(event):
    """Return the port's `Change` of an `EventBody`."""
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
