"""``anvilwell explain``: shows what happened to a request."""

import fileinput
import os

import pydantic

from anvilwell_client import connection as connections
from anvilwell_client import log_search
from anvilwell_client import printer
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import operators

_EXPLANATION = pydantic.TypeAdapter(operators.Explanation)


def explain(args, options):
    """Print the events of a request, oldest first.

    They are read from the files in ``--log_file`` if given, otherwise
    requested from an entry.
    """
    if options.log_file:
        return _explain_from_logs(args[0], options)
    connection = connections.Connection.from_options(options)
    found = connection.get(
        connections.path("explain", args[0]), _EXPLANATION, is_local=True
    )
    printer.show(options, found, _event_table(found["events"]))
    return os.EX_OK


def _explain_from_logs(wanted, options):
    try:
        with fileinput.input(options.log_file) as texts:
            lines, unreadable = log_search.read(texts)
    except OSError as error:
        raise exceptions.BadRequest(f"can't read a log: {error}") from error
    selected = log_search.select(lines, wanted)
    if not selected:
        raise exceptions.NotFound(
            f"no log line names {wanted}; {len(lines)} lines were read and"
            f" {unreadable} could not be parsed; routine lines are left out"
            " under load"
        )
    printer.show(
        options, [line._asdict() for line in selected], _log_table(selected)
    )
    return os.EX_OK


def _log_table(selected):
    started_at = selected[0].at
    rows = [
        (
            f"{line.at - started_at:+.3f} s",
            line.vm,
            line.event,
            _pairs(line.fields),
        )
        for line in selected
    ]
    return printer.table(["after", "vm", "event", "fields"], rows)


def _event_table(events):
    started_at = events[0]["at"] if events else 0.0
    rows = [
        (
            f"{event['at'] - started_at:+.3f} s",
            event["event"],
            _pairs(event["fields"]),
        )
        for event in events
    ]
    return printer.table(["after", "event", "fields"], rows)


def _pairs(fields):
    return " ".join(f"{key}={value}" for key, value in sorted(fields.items()))
