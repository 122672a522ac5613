"""Follows the weight versions that trainers name in the store."""

import asyncio

from anvilwell_gateway import prefix_follower
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

_LOG = logs.get_logger(__name__)


class WantedVersions(prefix_follower.PrefixFollower):
    """Holds the newest version that a trainer named for each model.

    Older versions that arrive later are ignored. The event ``changed`` is
    set whenever a version rises.
    """

    def __init__(self, store, codec):
        super().__init__(store, codec.versions_prefix)
        self._codec = codec
        self.wanted_by_model = {}
        self.changed = asyncio.Event()

    def load(self, entries_by_key):
        """Record all versions in the store."""
        for entry in entries_by_key.values():
            self._record(entry.key, entry.value)

    def change(self, change):
        """Record a changed version."""
        if change.value is not None:
            self._record(change.key, change.value)

    def _record(self, key, value):
        try:
            model, version = self._codec.read_version(key, value)
        except exceptions.ConfigurationError as error:
            _LOG.log("version-unreadable", key=key, cause=error.message)
            return
        if version > self.wanted_by_model.get(model, 0):
            self.wanted_by_model[model] = version
            self.changed.set()
            _LOG.log("version-wanted", model=model, version=version)
