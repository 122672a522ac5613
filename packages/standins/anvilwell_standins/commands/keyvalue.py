"""Serves the key-value service."""

from absl import flags

from anvilwell_standins.commands import serving
from anvilwell_standins.keyvalue import server

RATE = flags.DEFINE_float(
    "rate", 0.0, "Calls a second that are let through; 0 for no limit."
)


def keyvalue(argv):
    """Serve until a signal."""
    arguments = serving.arguments("keyvalue")
    return serving.serve(server.KeyValue(rate=RATE.value, **arguments))
