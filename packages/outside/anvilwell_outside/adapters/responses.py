"""Whole answers, and the errors that their statuses mean."""

import typing

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
import urllib3

Headers = urllib3.HTTPHeaderDict


class HttpResponse(typing.NamedTuple):
    """A whole response."""

    status: int
    headers: Headers
    body: bytes


def retry_after_s(headers):
    """Return the seconds of ``Retry-After``, or None if it has none."""
    text = headers.get("Retry-After", "")
    return float(text) if text.isdecimal() else None


def check_status(response, what):
    """Return `response` if its status is 2xx.

    Raises
    ------
    exceptions.Refused
        For 429, which promises that nothing was done.
    exceptions.BadRequest, exceptions.NotFound, exceptions.Conflict
        For 400, 404 and 409, with verdict ``NOT_RUN``.
    exceptions.BackendFailed
        For all else: a server error may come after the effect.
    """
    if 200 <= response.status < 300:
        return response
    text = response.body[:200].decode(errors="replace")
    message = f"{what} answered {response.status}: {text}"
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
