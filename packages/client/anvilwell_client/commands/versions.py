"""``anvilwell versions``: shows the weight versions of a service."""

import os

import pydantic

from anvilwell_client import connection as connections
from anvilwell_client import printer
from anvilwell_kernel.messages import operators

_VERSIONS = pydantic.TypeAdapter(operators.Versions)
_KEYS = ("vm_id", "failure_domain", "version")


def versions(args, options):
    """Print the desired version and the version of each replica."""
    connection = connections.Connection.from_options(options)
    found = connection.get(connections.path("versions", args[0]), _VERSIONS)
    lines = printer.paragraphs(
        [f"desired version {found['desired']}"],
        printer.listing(found["replicas"], _KEYS),
    )
    printer.show(options, found, lines)
    return os.EX_OK
