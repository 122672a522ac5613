"""``anvilwelld run``: runs the daemon until it is told to stop."""

import importlib
import os

from anvilwell_daemon.commands import check_settings

_PROCESS = "anvilwell_daemon.process"


def run(args, options):
    """Run with the file named by ``--settings``; return an exit code."""
    settings = check_settings.read_settings(options)
    # The other commands shouldn't wait for the whole daemon to load.
    process = importlib.import_module(_PROCESS)
    return process.run(settings) or os.EX_OK
