"""``anvilwelld run``: runs the daemon until it is told to stop."""

import importlib
import os

from anvilwell_daemon.commands import check_settings
from anvilwell_kernel.config import problem as problems
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel.telemetry import provider

_PROCESS = "anvilwell_daemon.process"


def run(args, options):
    """Run with the file named by ``--settings``; return an exit code."""
    settings = check_settings.read_settings(options)
    # The other commands shouldn't wait for the whole daemon to load.
    process = importlib.import_module(_PROCESS)
    provider.start()
    logs.capture_libraries()
    stop_log = _start_log(settings)
    try:
        return process.run(settings) or os.EX_OK
    finally:
        stop_log()


def _start_log(settings):
    try:
        return logs.start(settings.log.file, vm_id=settings.daemon.vm_id)
    except OSError as error:
        problem = problems.Problem(
            "", "log", "file", f"can't be written: {error}", "give another"
        )
        raise exceptions.ConfigurationError([problem]) from error
