"""``anvilwell show``: prints the document in force."""

import os

from anvilwell_client import change as changes
from anvilwell_client import connection as connections
from anvilwell_client import printer


def show(args, options):
    """Print a service's document and return an exit code."""
    connection = connections.Connection.from_options(options)
    document = changes.current(connection, args[0])
    head = f"; {document['service']}, generation {document['generation']}"
    printer.show(options, document, [head, document["text"].rstrip("\n")])
    return os.EX_OK
