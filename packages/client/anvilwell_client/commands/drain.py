"""``anvilwell drain``: stops a VM from taking new work."""

import os

import pydantic

from anvilwell_client import connection as connections
from anvilwell_client import printer
from anvilwell_kernel.messages import operators

_DRAINED = pydantic.TypeAdapter(operators.Drained)


def drain(args, options):
    """Start the drain of a VM and return an exit code."""
    connection = connections.Connection.from_options(options)
    found = connection.send(
        "POST", connections.path("drain", args[0]), _DRAINED
    )
    lines = [f"{found['vm_id']} is {found['state']}; see anvilwell status"]
    printer.show(options, found, lines)
    return os.EX_OK
