"""``anvilwelld run``: runs the daemon until it is told to stop."""

import os

from anvilwell_daemon.commands import check_settings


def run(args, options):
    """Run with the file named by ``--settings``; return an exit code."""
    settings = check_settings.read_settings(options)
    # The other commands shouldn't wait for the whole daemon to load.
    from anvilwell_daemon import process

    return process.run(settings) or os.EX_OK
