"""Applies a service document and determines whether it is in force."""

import time
import typing

import pydantic

from anvilwell_client import connection as connections
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import operators
from anvilwell_kernel import reasons
from anvilwell_kernel import verdict as verdicts

_APPLIED = pydantic.TypeAdapter(operators.Applied)
_DOCUMENT = pydantic.TypeAdapter(operators.ServiceDocument)
_HISTORY = pydantic.TypeAdapter(operators.History)
# Delay after each attempt, in seconds; one attempt is made per element.
PAUSES_S = (0.2, 1.0, 3.0)


class Change(typing.NamedTuple):
    """A service document to apply, with a unique change id."""

    change_id: str
    service: str
    text: str
    expected_generation: int
    operator: str


def current(connection, service):
    """Return the `operators.ServiceDocument` that is in force."""
    return connection.get(connections.path("services", service), _DOCUMENT)


def history(connection, service):
    """Return the service's `operators.Change`s, oldest first."""
    path = connections.path("services", service, "history")
    return connection.get(path, _HISTORY)["changes"]


class Applier:
    """Applies one change and reports whether it is in force.

    A change can safely be sent again with the same id: an entry that
    finds the id in the history repeats its first response.

    Parameters
    ----------
    connection : connection.Connection
        Connection to the entries.
    change : Change
        Change to apply.
    may_have_run : bool
        Whether the change was sent before with an unknown outcome.
    pause : callable
        Function that sleeps for the given seconds between attempts.
    """

    def __init__(
        self, connection, change, *, may_have_run=False, pause=time.sleep
    ):
        self._connection = connection
        self._change = change
        self._may_have_run = may_have_run
        self._pause = pause

    def apply(self):
        """Send the change until its outcome is certain.

        It is sent at most once for each of `PAUSES_S`.

        Returns
        -------
        operators.Applied
            Result of the change. Its outcome is ``unknown`` only if
            neither the attempts nor the history showed the outcome.

        Raises
        ------
        exceptions.AnvilwellError
            If no entry accepted the change, so it can't be in force.
        """
        for wait_s in PAUSES_S:
            applied = self._attempt()
            if applied and self._is_final(applied):
                return applied
            result = self._from_history()
            if result:
                return result
            self._pause(wait_s)
        return self._build_result(operators.Outcome.UNKNOWN, 0)

    def generation(self):
        """Return the generation in force, or 0 if no entry reports it."""
        try:
            return current(self._connection, self._change.service)[
                "generation"
            ]
        except exceptions.AnvilwellError:
            return 0

    def _attempt(self):
        path = connections.path("services", self._change.service)
        query = {
            "change_id": self._change.change_id,
            "expected_generation": self._change.expected_generation,
            "operator": self._change.operator,
        }
        body = self._change.text.encode()
        try:
            return self._connection.send(
                "PUT", path, _APPLIED, query=query, body=body
            )
        except exceptions.AnvilwellError as error:
            if error.verdict is not verdicts.Verdict.NOT_RUN:
                self._may_have_run = True
            if not self._may_have_run:
                raise
            return None

    def _is_final(self, applied):
        if applied["outcome"] is operators.Outcome.UNKNOWN:
            self._may_have_run = True
        if applied["outcome"] is operators.Outcome.REFUSED:
            # An earlier attempt whose response was lost may have succeeded.
            return not self._may_have_run
        return applied["outcome"] is operators.Outcome.IN_FORCE

    def _from_history(self):
        try:
            changes = history(self._connection, self._change.service)
        except exceptions.AnvilwellError:
            return None
        for change in changes:
            if change["change_id"] == self._change.change_id:
                return self._build_result(
                    operators.Outcome.IN_FORCE, change["generation"]
                )
        return self._generation_conflict(changes)

    def _generation_conflict(self, changes):
        """Return a refusal if another change has taken the generation."""
        wanted = self._change.expected_generation + 1
        if any(change["generation"] == wanted for change in changes):
            newest = max(change["generation"] for change in changes)
            return self._build_result(
                operators.Outcome.REFUSED, newest, reasons.Refusal.CONFLICT
            )
        return None

    def _build_result(self, outcome, generation, reason=""):
        return operators.Applied(
            outcome=outcome,
            generation=generation,
            change_id=self._change.change_id,
            problems=[],
            missing=[],
            reason=str(reason),
        )
