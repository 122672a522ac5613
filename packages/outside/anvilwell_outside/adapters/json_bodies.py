"""Encodes JSON bodies, and decodes and validates them."""

import json

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons

CONTENT_TYPE = {"Content-Type": "application/json"}


def encode(body):
    """Return `body` encoded as JSON."""
    return json.dumps(body).encode()


def decode(adapter, data, what):
    """Return the JSON text `data`, validated by a pydantic `adapter`.

    `what` names the server in the message of the error.

    Raises
    ------
    exceptions.BackendFailed
        If `data` does not fit the type; the call may have run.
    """
    try:
        return adapter.validate_json(data)
    except ValueError as error:
        raise exceptions.BackendFailed(
            f"{what} sent an invalid response: {error}",
            reason=reasons.Refusal.BACKEND_FAILED,
        ) from error
