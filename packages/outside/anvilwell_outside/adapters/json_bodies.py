"""JSON bodies to and from typed data."""

import json

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons

CONTENT_TYPE = {"Content-Type": "application/json"}


def encode(body):
    """Return `body` as JSON in bytes."""
    return json.dumps(body).encode()


def decode(adapter, data, what):
    """Return what `adapter` (a pydantic one) finds in `data`.

    Raises
    ------
    exceptions.BackendFailed
        If the answer is not of that shape; the call may have run.
    """
    try:
        return adapter.validate_json(data)
    except ValueError as error:
        raise exceptions.BackendFailed(
            f"{what} gave an answer that is not understood: {error}",
            reason=reasons.Refusal.BACKEND_FAILED,
        ) from error
