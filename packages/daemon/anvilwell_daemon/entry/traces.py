"""The service ``traces``: what happened to recent requests."""

import collections
import threading
import typing

from anvilwell_kernel import exceptions
from anvilwell_kernel import services

MAX_NOTES = 64


class Note(typing.NamedTuple):
    """One event of a request; ``at`` is wall time, for people."""

    at: float
    event: str
    fields: dict


class Traces(services.Service):
    """Remembers the events of the last requests; any thread may call.

    Parameters
    ----------
    clock : clock.Clock
        Source of wall time.
    max_requests : int
        Requests that are remembered; the oldest are forgotten first.
    """

    name = "traces"

    def __init__(self, clock, max_requests):
        self._clock = clock
        self._max_requests = max_requests
        self._notes_by_id = collections.OrderedDict()
        self._lock = threading.Lock()

    def note(self, request_id, event, **fields):
        """Remember that `event` happened to a request."""
        note = Note(self._clock.wall(), event, fields)
        with self._lock:
            notes = self._notes_by_id.setdefault(request_id, [])
            if len(notes) < MAX_NOTES:
                notes.append(note)
            if len(self._notes_by_id) > self._max_requests:
                self._notes_by_id.popitem(last=False)

    def explain(self, request_id):
        """Return the request's `Note`s, oldest first.

        Raises
        ------
        exceptions.NotFound
            If it is not remembered here.
        """
        with self._lock:
            notes = self._notes_by_id.get(request_id)
        if notes is None:
            raise exceptions.NotFound(
                f"this entry remembers no request {request_id!r};"
                " ask the entry that answered it"
            )
        return list(notes)
