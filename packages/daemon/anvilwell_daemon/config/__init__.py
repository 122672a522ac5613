"""The settings of the daemon."""

from anvilwell_daemon.config import settings

Settings = settings.Settings
load = settings.load
loads = settings.loads
