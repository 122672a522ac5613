"""A model engine as backend server."""

import contextlib
import itertools
import json

from anvilwell_daemon.agent.backends import base
from anvilwell_daemon.agent import outflow
from anvilwell_kernel import exceptions

CANCEL_TIMEOUT_S = 2.0
LOAD_TIMEOUT_S = 2.0
HTTP_OK = 200


class ModelBackend(base.Backend):
    """Streams completions from an engine.

    Parameters
    ----------
    engine : ports.engine.Engine
        The engine's adapter.
    """

    def __init__(self, engine):
        self._engine = engine

    def run(self, start, timeout_s):
        """Yield the head, the generated pieces and the finish."""
        body = _body(start)
        events = self._engine.generate(
            attempt_id(start), body, timeout_s=timeout_s
        )
        with contextlib.closing(events):
            first = next(events)
            yield outflow.Head(HTTP_OK, [])
            for event in itertools.chain([first], events):
                yield _event(event)

    def cancel(self, start):
        """Give up the attempt at the engine."""
        self._engine.cancel(attempt_id(start), timeout_s=CANCEL_TIMEOUT_S)

    def load(self):
        """Return the engine's own report."""
        return self._engine.load(timeout_s=LOAD_TIMEOUT_S)


def attempt_id(start):
    """Return the id that the engine knows the attempt by."""
    return f"{start.request_id}.{start.attempt}"


def _body(start):
    try:
        body = json.loads(start.body)
    except ValueError as error:
        raise exceptions.BadRequest(f"body is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise exceptions.BadRequest("body is not a JSON object")
    return {**body, "stream": True}


def _event(event):
    if hasattr(event, "text"):
        return outflow.Piece(event.text.encode(), event.count, event.version)
    return outflow.Finish(event.reason)
