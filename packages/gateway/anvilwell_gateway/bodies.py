"""Bodies of calls between our own processes."""

import cbor2

from anvilwell_gateway.http import messages
from anvilwell_kernel import exceptions


def question(target, address, content):
    """Return the request that asks the process at `address`."""
    host = ("Host", str(address))
    return messages.Request("POST", target, (host,), cbor2.dumps(content))


def read(adapter, body, what):
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
