"""HTTP responses with their whole body, and the errors for their statuses."""

import typing

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
import urllib3

Headers = urllib3.HTTPHeaderDict


class HttpResponse(typing.NamedTuple):
    """An HTTP response whose body has been read to the end."""

    status: int
    headers: Headers
    body: bytes


def retry_after_s(headers):
    """Return the seconds in ``Retry-After``.

    None if the header is absent or not a whole number of seconds.
    """
    text = headers.get("Retry-After", "")
    return float(text) if text.isdecimal() else None


def check_status(response, what):
    """Return `response` if its status is 2xx, and raise an error otherwise.

    `what` names the server in the message of the error.

    Raises
    ------
    exceptions.Refused
        For 429, which guarantees that the request had no effect.
    exceptions.BadRequest, exceptions.NotFound, exceptions.Conflict
        For 400, 404 and 409, with verdict ``NOT_RUN``.
    exceptions.BackendFailed
        For any other status. The request may have run, since a server can
        fail after the effect.
    """
    if 200 <= response.status < 300:
        return response
    text = response.body[:200].decode(errors="replace")
    message = f"{what} responded with status {response.status}: {text}"
    if response.status == 429:
        raise exceptions.Refused(
            message,
            reason=reasons.Refusal.RATE_LIMITED,
            retry_after=retry_after_s(response.headers),
        )
    kind = _ERRORS_BY_STATUS.get(response.status, exceptions.BackendFailed)
    raise kind(message)


_ERRORS_BY_STATUS = {
    400: exceptions.BadRequest,
    404: exceptions.NotFound,
    409: exceptions.Conflict,
}
