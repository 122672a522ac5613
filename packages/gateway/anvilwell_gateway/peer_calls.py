"""Calls between our own processes, and their bodies."""

import typing

import cbor2

from anvilwell_gateway.http import client
from anvilwell_gateway.http import messages
from anvilwell_kernel import exceptions


class CallLimits(typing.NamedTuple):
    """How long an answer may take, in seconds, and how many bytes."""

    timeout_s: float
    max_bytes: int


async def call(pool, vm_id, address, target, content, limits):
    """Return the body of the answer of the process on another VM.

    Raises
    ------
    exceptions.BackendFailed
        If there is none, or its status is not 200.
    """
    reply, body = await pool.call(
        vm_id, address, build_request(target, address, content), *limits
    )
    if reply.status != 200:
        raise client.call_error(f"status {reply.status}")
    return body


def build_request(target, address, content):
    """Return the request that asks the process at `address`."""
    host = ("Host", str(address))
    return messages.Request("POST", target, (host,), cbor2.dumps(content))


def decode(adapter, body, what):
    """Return what a request's body holds, checked by a type `adapter`.

    Raises
    ------
    exceptions.BadRequest
        If it holds no `what`.
    """
    try:
        return adapter.validate_python(cbor2.loads(body))
    except (cbor2.CBORError, ValueError) as error:
        raise exceptions.BadRequest(f"no {what}: {error}") from error
