"""The settings of the daemon."""

from anvilwell_daemon.config.settings import load
from anvilwell_daemon.config.settings import loads
from anvilwell_daemon.config.settings import Settings

__all__ = ("Settings", "load", "loads")
