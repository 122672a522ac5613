"""Serves the scorer."""

from anvilwell_standins.commands import serving
from anvilwell_standins import scorer as scorers


def scorer(argv):
    """Serve until a signal."""
    return serving.serve(scorers.Scorer(**serving.arguments("scorer")))
