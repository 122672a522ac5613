"""``anvilwell status``: shows the daemons and services."""

import os

import pydantic

from anvilwell_client import connection as connections
from anvilwell_client import printer
from anvilwell_kernel.messages import operators

_STATUS = pydantic.TypeAdapter(operators.Status)
_SERVICE_KEYS = ("service", "kind", "generation")
_MEMBER_KEYS = (
    "vm_id",
    "role",
    "service",
    "state",
    "failure_domain",
    "address",
)


def status(args, options):
    """Print the fleet's status as the first responding entry reports it."""
    connection = connections.Connection.from_options(options)
    found = connection.get(connections.path("status"), _STATUS)
    unready = ", ".join(found["unready"])
    state = "ready" if found["ready"] else f"not ready ({unready})"
    lines = printer.paragraphs(
        [f"seen by {found['vm_id']}, which is {state}"],
        printer.listing(found["services"], _SERVICE_KEYS),
        printer.listing(found["members"], _MEMBER_KEYS),
    )
    printer.show(options, found, lines)
    return os.EX_OK
