"""A plain HTTP service as backend server."""

import contextlib

from anvilwell_daemon.agent.backends import base
from anvilwell_daemon.agent import outflow
from anvilwell_daemon.links import headers as header_rules
from anvilwell_outside.ports import plain

REQUEST_ID = "X-Request-Id"
IDEMPOTENCY_KEY = "Idempotency-Key"


class PlainBackend(base.Backend):
    """Passes calls through; never repeats one.

    Parameters
    ----------
    service : ports.plain.Plain
        The service's adapter.
    """

    def __init__(self, service):
        self._service = service

    def run(self, start, timeout_s):
        """Yield the head, the body's pieces and the finish."""
        request = plain.Request(
            start.method,
            start.path,
            _request_headers(start),
            start.body,
            start.idempotent,
        )
        response = self._service.call(request, timeout_s=timeout_s)
        with contextlib.closing(response.chunks):
            headers = header_rules.end_to_end(response.headers)
            yield outflow.Head(response.status, headers)
            for chunk in response.chunks:
                yield outflow.Piece(chunk)
        yield outflow.Finish()

    def cancel(self, start):
        """Do nothing: plain HTTP has no cancel but closing."""


def _request_headers(start):
    headers = [*start.headers, (REQUEST_ID, start.request_id)]
    if start.key:
        headers.append((IDEMPOTENCY_KEY, start.key))
    return headers
