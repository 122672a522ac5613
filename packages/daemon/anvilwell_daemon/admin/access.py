"""Who may use the operators' interface."""

import functools
import hmac
import http

from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons

_SCHEME = "Bearer "


class Access:
    """Lets in requests that carry the operators' token.

    Parameters
    ----------
    token : pydantic.SecretStr, optional
        The token; None lets everyone in.
    """

    def __init__(self, token=None):
        self._token = token

    def guard(self, handler):
        """Return `handler` behind the check of the token."""

        @functools.wraps(handler)
        def guarded(request, **params):
            self._check(request)
            return handler(request, **params)

        return guarded

    def _check(self, request):
        if self._token is None:
            return
        expected = _SCHEME + self._token.get_secret_value()
        given = request.headers.get("Authorization", "")
        if not hmac.compare_digest(given.encode(), expected.encode()):
            refusal = exceptions.Refused(
                "the operators' token is missing or wrong; give --token_file",
                reason=reasons.Refusal.FORBIDDEN,
            )
            refusal.status = http.HTTPStatus.FORBIDDEN
            raise refusal
