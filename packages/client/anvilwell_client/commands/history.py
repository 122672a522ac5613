"""``anvilwell history``: lists the accepted changes of a service."""

import os

from anvilwell_client import change as changes
from anvilwell_client import connection as connections
from anvilwell_client import printer

_KEYS = ("generation", "change_id", "operator", "digest")
# Characters of a digest in the table; JSON has the whole digest.
_DIGEST_CHARS = 12


def history(args, options):
    """Print the changes, oldest first, and return an exit code."""
    connection = connections.Connection.from_options(options)
    found = changes.history(connection, args[0])
    shown = [change | {"digest": _short(change)} for change in found]
    printer.show(options, found, printer.listing(shown, _KEYS))
    return os.EX_OK


def _short(change):
    return change["digest"][:_DIGEST_CHARS]
