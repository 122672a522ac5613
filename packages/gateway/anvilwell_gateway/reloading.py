"""Applies changed settings to a running process."""

import asyncio
import os

from anvilwell_gateway import config
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# Seconds between checks of the settings file, which may change without a
# signal. Each check costs one system call.
POLL_INTERVAL_S = 1.0

_LOG = logs.get_logger(__name__)


class Reloader:
    """Reads the settings again on request or when their file changes.

    Settings that can change while the process runs are applied at once.
    The log names the others, which apply from the next start.

    Parameters
    ----------
    path : str
        Path of the settings file.
    role : str
        Role of this process.
    settings : config.Settings
        The settings in force.
    apply : callable
        Called with a changed `config.KeyValueSection`.
    """

    def __init__(self, path, role, settings, apply):
        self._path = path
        self._role = role
        self._settings = settings
        self._apply = apply
        self._file_stamp = self._read_file_stamp()

    async def watch(self):
        """Check the settings file for changes until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._read_file_stamp() != self._file_stamp:
                self.reload()

    def reload(self):
        """Read the settings and apply those that have changed."""
        self._file_stamp = self._read_file_stamp()
        try:
            settings = config.load(self._path, self._role)
        except exceptions.ConfigurationError as error:
            _LOG.log("settings-unreadable", cause=error.message)
            return
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        if "keyvalue" in changed:
            self._apply(settings.keyvalue)
        _LOG.log(
            "settings-read",
            changed=changed,
            needs_restart=[name for name in changed if name != "keyvalue"],
        )
        self._settings = settings

    def _read_file_stamp(self):
        try:
            status = os.stat(self._path)
        except OSError as error:
            _LOG.log("settings-not-found", cause=str(error))
            return None
        return status.st_mtime_ns, status.st_size
