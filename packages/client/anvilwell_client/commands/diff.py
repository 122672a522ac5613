"""``anvilwell diff``: compares a file with the document in force."""

import difflib
import os

from anvilwell_client import change as changes
from anvilwell_client import connection as connections
from anvilwell_client import files
from anvilwell_client import printer

EXIT_DIFFERS = 1


def diff(args, options):
    """Print the differences; return 0 if there are none, else 1."""
    (path,) = args
    file = files.read(path)
    connection = connections.Connection.from_options(options)
    document = changes.current(connection, file.service)
    name = f"{file.service} generation {document['generation']}"
    lines = list(
        difflib.unified_diff(
            document["text"].splitlines(),
            file.text.splitlines(),
            name,
            path,
            lineterm="",
        )
    )
    printer.show(options, lines, lines or [f"same as {name}"])
    return EXIT_DIFFERS if lines else os.EX_OK
