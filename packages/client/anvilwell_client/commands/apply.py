"""``anvilwell apply``: puts a document in force on all daemons or none."""

import getpass
import os
import uuid

from anvilwell_client import change as changes
from anvilwell_client import connection as connections
from anvilwell_client import files
from anvilwell_client import printer
from anvilwell_kernel import commandline
from anvilwell_kernel.messages import operators
from anvilwell_kernel import reasons

_EXIT_CODES_BY_OUTCOME = {
    operators.Outcome.IN_FORCE: os.EX_OK,
    operators.Outcome.REFUSED: os.EX_UNAVAILABLE,
    operators.Outcome.UNKNOWN: os.EX_TEMPFAIL,
}

_NEXT_STEPS_BY_REASON = {
    reasons.Refusal.CONFLICT: (
        "another change came first: anvilwell diff {path}, then apply again"
    ),
    reasons.Refusal.BAD_DOCUMENT: "correct the document, then apply again",
    reasons.Refusal.MEMBERS_MISSING: (
        "see anvilwell status, and apply again when the daemons answer"
    ),
    reasons.Refusal.KEY_VALUE_UNAVAILABLE: (
        "apply again when the platform's key-value service answers"
    ),
}


def apply(args, options):
    """Apply the service document in a file and return an exit code."""
    (path,) = args
    file = files.read(path)
    connection = connections.Connection.from_options(options)
    expected = options.expected_generation
    if expected is None:
        expected = changes.current(connection, file.service)["generation"]
    change = changes.Change(
        options.change_id or uuid.uuid4().hex,
        file.service,
        file.text,
        expected,
        options.operator or getpass.getuser(),
    )
    applier = changes.Applier(
        connection, change, may_have_run=bool(options.change_id)
    )
    applied = applier.apply()
    if applied["outcome"] is operators.Outcome.REFUSED:
        applied["generation"] = applier.generation()
    _print_result(applied, options, path, change)
    return _EXIT_CODES_BY_OUTCOME[applied["outcome"]]


def _print_result(applied, options, path, change):
    lines = [_outcome_line(applied)]
    printer.show(options, applied, lines)
    for text in [*applied["problems"], *_missing(applied)]:
        commandline.print_message(text)
    if applied["outcome"] is operators.Outcome.REFUSED:
        commandline.print_message(
            f"refused: {_refusal_line(applied['reason'], path)}"
        )
    if applied["outcome"] is operators.Outcome.UNKNOWN:
        commandline.print_message(
            "repeat the change when entries respond again: anvilwell apply"
            f" --change_id={change.change_id}"
            f" --expected_generation={change.expected_generation} {path}"
        )


def _refusal_line(reason, path):
    next_step = _NEXT_STEPS_BY_REASON.get(reason, "see the lines above")
    return f"{reason}; {next_step.format(path=path)}"


def _missing(applied):
    return [f"no answer from {vm_id}" for vm_id in applied["missing"]]


def _outcome_line(applied):
    if applied["outcome"] is operators.Outcome.IN_FORCE:
        return f"in force everywhere, generation {applied['generation']}"
    if applied["outcome"] is operators.Outcome.REFUSED:
        return (
            f"not in force anywhere, generation {applied['generation']} stays"
        )
    return "unknown: it may be in force"
