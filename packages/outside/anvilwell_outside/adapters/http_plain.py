"""The port to plain services over HTTP."""

import time

from anvilwell_kernel import hop_by_hop

from anvilwell_outside.adapters import http_adapter
from anvilwell_outside.adapters import responses
from anvilwell_outside.ports import plain

MAX_ANSWER_BYTES = 64 << 20

_SET_BY_CLIENT = frozenset(("host", "content-length"))


class HttpPlain(http_adapter.BackendAdapter, plain.Plain):
    """Calls one plain service; hop-by-hop headers stay behind.

    A call that is not idempotent gets a connection of its own: a
    kept-alive one may be closed just as the call is written, which
    leaves open whether it ran.
    """

    def call(self, request, *, timeout_s):
        """Return the `Response` to `request`; close its chunks."""
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
        chunks = self._client.chunks(response, deadline, MAX_ANSWER_BYTES)
        headers = _without(hop_by_hop.HOP_BY_HOP, response.headers.items())
        return plain.Response(response.status, list(headers.items()), chunks)


def _without(names, headers):
    kept = responses.Headers()
    for name, value in headers:
        if name.lower() not in names:
            kept.add(name, value)
    return kept
