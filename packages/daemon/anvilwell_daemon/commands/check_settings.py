"""``anvilwelld check-settings``: says all that is wrong in a file."""

import os

from absl import app

from anvilwell_daemon import config


def check_settings(args, options):
    """Check the file named by ``--settings``; return an exit code."""
    settings = read_settings(options)
    print(f"{options.settings}: role {settings.daemon.role}, no problems")
    return os.EX_OK


def read_settings(options):
    """Return the `config.Settings` in the file named by ``--settings``.

    Raises
    ------
    app.UsageError
        If the flag is missing.
    exceptions.ConfigurationError
        With every problem found in the file.
    """
    if not options.settings:
        raise app.UsageError("expected --settings FILE", os.EX_USAGE)
    return config.load(options.settings)
