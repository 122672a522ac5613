"""Builds the services of a role and runs them until SIGTERM."""

from anvilwell_daemon.process import runner


def run(settings):
    """Run the daemon with `settings`; return an exit code."""
    return runner.run(settings)
