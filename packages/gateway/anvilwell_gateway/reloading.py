"""Takes changed settings into a process that runs."""

import asyncio
import os

from anvilwell_gateway import config
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# Settings may change without a signal; looking costs one system call.
POLL_INTERVAL_S = 1.0

_LOG = logs.get_logger(__name__)


class Reloader:
    """Reads the settings anew when told to, or when the file changes.

    What can change while the process runs is taken at once; what can't
    is named in the log and holds from the next start on.

    Parameters
    ----------
    path : str
        The settings file.
    role : str
        This process's role.
    settings : config.Settings
        What holds now.
    apply : callable
        Takes the new `config.KeyValueSection`.
    """

    def __init__(self, path, role, settings, apply):
        self._path = path
        self._role = role
        self._settings = settings
        self._apply = apply
        self._file_stamp = self._read_file_stamp()

    async def watch(self):
        """Look for changes for ever."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._read_file_stamp() != self._file_stamp:
                self.reload()

    def reload(self):
        """Read the settings and take what has changed."""
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
