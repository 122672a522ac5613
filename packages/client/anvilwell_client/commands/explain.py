"""``anvilwell explain``: says what happened to a request."""

import os

import pydantic

from anvilwell_client import connection as connections
from anvilwell_client import printer
from anvilwell_kernel.messages import operators

_EXPLANATION = pydantic.TypeAdapter(operators.Explanation)


def explain(args, options):
    """Print the events of a request, oldest first."""
    connection = connections.Connection.from_options(options)
    found = connection.get(
        connections.path("explain", args[0]), _EXPLANATION, is_local=True
    )
    printer.show(options, found, _lines(found["events"]))
    return os.EX_OK


def _lines(events):
    begun = events[0]["at"] if events else 0.0
    rows = [
        (f"{event['at'] - begun:+.3f} s", event["event"], _fields(event))
        for event in events
    ]
    return printer.table(["after", "event", "fields"], rows)


def _fields(event):
    pairs = sorted(event["fields"].items())
    return " ".join(f"{key}={value}" for key, value in pairs)
