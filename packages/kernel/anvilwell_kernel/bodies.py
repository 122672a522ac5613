"""Reads request bodies and rejects those that are incomplete."""

import http

from cheroot import errors

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons

_TOO_LARGE = "Request Entity Too Large"


class CheckedBody:
    """A WSGI input stream that raises if the body is truncated.

    Parameters
    ----------
    stream : file-like
        The server's stream. If the request has a Content-Length, its
        attribute ``remaining`` is the number of bytes not yet read.
    """

    def __init__(self, stream):
        self._stream = stream

    def read(self, size=None):
        """Return up to `size` bytes, or b"" after the last byte of the body.

        Raises
        ------
        exceptions.BadRequest
            If the body is too large, malformed or truncated, or if it
            does not arrive in time.
        """
        try:
            data = self._stream.read(size)
        except (errors.MaxSizeExceeded, OSError, ValueError) as error:
            raise _to_bad_request(error) from error
        if not data and size != 0 and getattr(self._stream, "remaining", 0):
            raise exceptions.BadRequest(
                "body is shorter than its Content-Length"
            )
        return data


def _to_bad_request(error):
    if isinstance(error, errors.MaxSizeExceeded) or _TOO_LARGE in str(error):
        refusal = exceptions.BadRequest(
            "body is too large", reason=reasons.Refusal.BODY_TOO_LARGE
        )
        refusal.status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        return refusal
    return exceptions.BadRequest(f"body can't be read: {error}")
