"""``anvilwell explain``: says what happened to a request."""

import fileinput
import os

import pydantic

from anvilwell_client import connection as connections
from anvilwell_client import printer
from anvilwell_client import stories
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import operators

_EXPLANATION = pydantic.TypeAdapter(operators.Explanation)


def explain(args, options):
    """Print the events of a request, oldest first.

    They come from ``--log_file`` if that is given, else from an entry.
    """
    if options.log_file:
        return _explain_from_logs(args[0], options)
    connection = connections.Connection.from_options(options)
    found = connection.get(
        connections.path("explain", args[0]), _EXPLANATION, is_local=True
    )
    printer.show(options, found, _lines(found["events"]))
    return os.EX_OK


def _explain_from_logs(wanted, options):
    try:
        with fileinput.input(options.log_file) as texts:
            lines, unreadable = stories.read(texts)
    except OSError as error:
        raise exceptions.BadRequest(f"can't read a log: {error}") from error
    story = stories.tell(lines, wanted)
    if not story:
        raise exceptions.NotFound(
            f"no line names {wanted}; {len(lines)} lines were read and"
            f" {unreadable} are no log lines; routine lines are left out"
            " under load"
        )
    printer.show(options, [line._asdict() for line in story], _table(story))
    return os.EX_OK


def _table(story):
    begun = story[0].at
    rows = [
        (f"{line.at - begun:+.3f} s", line.vm, line.event, _pairs(line.fields))
        for line in story
    ]
    return printer.table(["after", "vm", "event", "fields"], rows)


def _lines(events):
    begun = events[0]["at"] if events else 0.0
    rows = [
        (
            f"{event['at'] - begun:+.3f} s",
            event["event"],
            _pairs(event["fields"]),
        )
        for event in events
    ]
    return printer.table(["after", "event", "fields"], rows)


def _pairs(fields):
    return " ".join(f"{key}={value}" for key, value in sorted(fields.items()))
