"""Follows the operators' configuration and puts new versions in force."""

import asyncio
import typing

from anvilwell_decisions.traffic import organisations
from anvilwell_decisions.traffic import table
from anvilwell_gateway import measures
from anvilwell_gateway import prefix_follower
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

_LOG = logs.get_logger(__name__)


class _UnreadValue(typing.NamedTuple):
    """The remaining steps of reading a value, and when it was received."""

    steps: typing.Iterator
    received_at: float


class ConfigurationFollower(prefix_follower.PrefixFollower):
    """Holds the newest configuration; its version never goes back."""

    def __init__(self, store, codec):
        self._reading_task = None
        self._reading = self._waiting = None
        super().__init__(store, codec.configuration_key)
        self._codec = codec
        self._newest = table.NewestConfiguration()
        self._listeners = []
        self._in_force_since = 0.0
        self.routes = table.RouteTable()
        self.organisations = organisations.Organisations()

    @property
    def current(self):
        """The configuration in force, None before the first one."""
        return self._newest.configuration

    @property
    def age_s(self):
        """The time since the one in force was known to be the newest.

        In seconds. A newer one may have been received, but not read yet.
        """
        if self._reading is None:
            return self.copy_age_s
        now = asyncio.get_running_loop().time()
        return max(self.copy_age_s, now - self._reading.received_at)

    def listen(self, callback):
        """Call `callback` after each change of the configuration."""
        self._listeners.append(callback)

    def load(self, entries_by_key):
        """Read the configuration in the store."""
        entry = entries_by_key.get(self._prefix)
        if entry is not None:
            self._read(entry.value)

    def change(self, change):
        """Read a changed configuration."""
        if change.key == self._prefix and change.value is not None:
            self._read(change.value)

    async def refresh(self):
        """Read the store's current configuration and put it in force.

        Raises
        ------
        exceptions.KeyValueUnavailable
            If the store can't be reached.
        """
        entry = await self.read_newest(self._prefix)
        if entry:
            self._read(entry.value)
        if self._reading_task:
            await asyncio.wait((self._reading_task,))

    def gauge_values(self):
        """Return the gauges of the version in force, if any, and its age."""
        if self.current is None:
            return []
        age_s = asyncio.get_running_loop().time() - self._in_force_since
        return [
            measures.GaugeValue("configuration_version", self.current.version),
            measures.GaugeValue("configuration_age_s", age_s),
            measures.GaugeValue("configuration_copy_age_s", self.age_s),
        ]

    async def stop(self):
        """Stop to follow the configuration and cancel its reading."""
        self._stop_reading()
        await super().stop()

    def _stop_reading(self):
        self._reading = self._waiting = None
        if self._reading_task:
            self._reading_task.cancel()
            self._reading_task = None

    def _read(self, value):
        """Read a newer value.

        The first step runs at once, as most changes need only one. Further
        ones wait until an older value has been read, as newer ones would keep
        each other out of force in a series of changes.
        """
        steps = self._codec.configuration_steps(value)
        if self._read_step(steps):
            return
        unread = _UnreadValue(steps, asyncio.get_running_loop().time())
        if self._reading:
            self._waiting = unread
        else:
            self._reading = unread
            self._reading_task = asyncio.create_task(self._finish_reading())

    async def _finish_reading(self):
        """Run the remaining steps, then those of the newest other value.

        Other work is done between the steps.
        """
        while self._reading:
            await asyncio.sleep(0)
            is_last = True
            try:
                is_last = self._read_step(self._reading.steps)
            except Exception as error:
                # A fault in one value must not keep later ones out of force.
                _LOG.log("configuration-failed", cause=repr(error))
            if is_last:
                self._reading, self._waiting = self._waiting, None

    def _read_step(self, steps):
        """Run one step of reading; return whether it was the last one."""
        try:
            configuration = next(steps)
        except exceptions.ConfigurationError as error:
            _LOG.log("configuration-unreadable", cause=error.message)
            return True
        if configuration is not None:
            self._put_in_force(configuration)
        return configuration is not None

    def _put_in_force(self, configuration):
        """Put a configuration in force if it is newer than the current one."""
        if not self._newest.take(configuration):
            _LOG.log("configuration-older", version=configuration.version)
            return
        self.routes = table.RouteTable(configuration.routes)
        self.organisations = organisations.Organisations(
            configuration.organisations
        )
        self._in_force_since = asyncio.get_running_loop().time()
        _LOG.log(
            "configuration-in-force",
            version=configuration.version,
            routes=len(configuration.routes),
            organisations=len(configuration.organisations),
        )
        for callback in self._listeners:
            callback()
