"""``anvilwell history``: lists the accepted changes of a service."""

import os

from anvilwell_client import change as changes
from anvilwell_client import connection as connections
from anvilwell_client import printer

_KEYS = ("generation", "change_id", "operator", "digest")


def history(args, options):
    """Print the changes, oldest first; return an exit code."""
    connection = connections.Connection.from_options(options)
    found = changes.history(connection, args[0])
    printer.show(options, found, printer.listing(found, _KEYS))
    return os.EX_OK
