"""Adapter for plain services over HTTP."""

import time

from anvilwell_kernel import hop_by_hop

from anvilwell_outside.adapters import http_adapter
from anvilwell_outside.adapters import responses
from anvilwell_outside.ports import plain

# Largest body that a plain service may send.
MAX_RESPONSE_BYTES = 64 << 20

# Headers that the HTTP client sets itself.
_SET_BY_CLIENT = frozenset(("host", "content-length"))


class HttpPlain(http_adapter.BackendAdapter, plain.Plain):
    """Calls one plain service; hop-by-hop headers are not forwarded.

    A request that is not idempotent is sent on a new connection. The
    server may close a kept-alive one just as the request is written, and
    it would then be unknown whether the request ran.
    """

    def call(self, request, *, timeout_s):
        """Send `request` and return its `Response`.

        The caller closes the response's ``chunks``.
        """
        deadline = time.monotonic() + timeout_s
        dropped = hop_by_hop.HOP_BY_HOP | _SET_BY_CLIENT
        response = self._client.open(
            request.method,
            request.path,
            body=request.body or None,
            headers=_without(dropped, request.headers),
            timeout_s=timeout_s,
            use_new_connection=not request.idempotent,
        )
        chunks = self._client.chunks(response, deadline, MAX_RESPONSE_BYTES)
        headers = _without(hop_by_hop.HOP_BY_HOP, response.headers.items())
        return plain.Response(response.status, list(headers.items()), chunks)


def _without(names, headers):
    kept = responses.Headers()
    for name, value in headers:
        if name.lower() not in names:
            kept.add(name, value)
    return kept
