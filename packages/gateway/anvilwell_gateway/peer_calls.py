"""Calls between processes of the gateway, with bodies in CBOR."""

import typing

import cbor2

from anvilwell_gateway.http import client
from anvilwell_gateway.http import messages
from anvilwell_kernel import exceptions


class CallLimits(typing.NamedTuple):
    """Limits of a response: its time, in seconds, and its size, in bytes."""

    timeout_s: float
    max_bytes: int


async def call(pool, vm_id, address, target, content, limits):
    """Send `content` to the process on another VM; return the response body.

    Raises
    ------
    exceptions.BackendFailed
        If there is no whole response, or its status is not 200.
    """
    reply, body = await pool.call(
        vm_id, address, build_request(target, address, content), *limits
    )
    if reply.status != 200:
        raise client.call_error(f"status {reply.status}")
    return body


def build_request(target, address, content):
    """Return a POST request that holds `content` as CBOR."""
    host = ("Host", str(address))
    return messages.Request("POST", target, (host,), cbor2.dumps(content))


def decode(adapter, body, what):
    """Decode a CBOR body and validate it.

    Parameters
    ----------
    adapter : pydantic.TypeAdapter
        Validates and converts the decoded value.
    body : bytes
        The CBOR body.
    what : str
        What the body should hold, for the error message.

    Raises
    ------
    exceptions.BadRequest
        If the body is not CBOR or fails the validation.
    """
    try:
        return adapter.validate_python(cbor2.loads(body))
    except (cbor2.CBORError, ValueError) as error:
        raise exceptions.BadRequest(f"no {what}: {error}") from error
