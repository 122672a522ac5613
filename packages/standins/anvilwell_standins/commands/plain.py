"""Serves the plain service."""

from anvilwell_standins.commands import serving
from anvilwell_standins import plain as plains


def plain(argv):
    """Serve until a signal."""
    return serving.serve(plains.Plain(**serving.arguments("plain")))
