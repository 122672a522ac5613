"""Reads request bodies whole, or says what is wrong with them."""

import http

from cheroot import errors

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons

_TOO_LARGE = "Request Entity Too Large"


class CheckedBody:
    """A WSGI input stream that never passes a cut body for a whole one.

    Parameters
    ----------
    stream : file-like
        The server's stream; one of known length has ``remaining``.
    """

    def __init__(self, stream):
        self._stream = stream

    def read(self, size=None):
        """Return up to `size` bytes, b"" only at the body's true end.

        Raises
        ------
        exceptions.BadRequest
            If the body is too large, malformed, cut or too slow.
        """
        try:
            data = self._stream.read(size)
        except (errors.MaxSizeExceeded, OSError, ValueError) as error:
            raise _to_bad_request(error) from error
        if not data and size != 0 and getattr(self._stream, "remaining", 0):
            raise exceptions.BadRequest("body ends before its stated length")
        return data


def _to_bad_request(error):
    if isinstance(error, errors.MaxSizeExceeded) or _TOO_LARGE in str(error):
        refusal = exceptions.BadRequest(
            "body is too large", reason=reasons.Refusal.BODY_TOO_LARGE
        )
        refusal.status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        return refusal
    return exceptions.BadRequest(f"body can't be read: {error}")
