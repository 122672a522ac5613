"""``anvilwelld version``: says which release this is."""

from importlib import metadata
import os


def version(args, options):
    """Print the release; return an exit code."""
    print(f"anvilwelld {metadata.version('anvilwell-daemon')}")
    return os.EX_OK
