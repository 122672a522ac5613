"""An agent: moves the engine beside it to the version asked for.

It is the only one that gives its engine orders. So no lease is needed,
and no order of another holder can cross its own.
"""

import asyncio
import re

from anvilwell_gateway import engine as engines
from anvilwell_gateway import following
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# Engines that load weights take no new work, and load slower the more
# load at a time: so replicas load in pairs, a pair after the other. A
# load takes 0.9 s.
PAIR = 2
WAVE_S = 1.0
# An engine at work gets so long to become idle before it loads anyway;
# its runs go on under the new version.
IDLE_WAIT_S = 1.0
POLL_S = 0.1
# Between tries of an order that failed.
RETRY_S = 0.3

_LOG = logs.get_logger(__name__)


class Versions(following.Follower):
    """Follows the versions that trainers ask for; they only rise."""

    def __init__(self, store, codec):
        super().__init__(store, codec.versions_prefix)
        self._codec = codec
        self.wanted_by_model = {}
        self.news = asyncio.Event()

    def load(self, entries_by_key):
        """Take all versions that are there."""
        for entry in entries_by_key.values():
            self._take(entry.key, entry.value)

    def change(self, change):
        """Take one version."""
        if change.value is not None:
            self._take(change.key, change.value)

    def _take(self, key, value):
        try:
            model, version = self._codec.read_version(value)
        except exceptions.ConfigurationError as error:
            _LOG.log("version-unreadable", key=key, cause=error.message)
            return
        if version > self.wanted_by_model.get(model, 0):
            self.wanted_by_model[model] = version
            self.news.set()
            _LOG.log("version-wanted", model=model, version=version)


class Agent:
    """Keeps one engine at the wanted versions.

    Parameters
    ----------
    settings : config.Settings
        Names and addresses.
    platform : platforms.Platform
        The adapter to the platform.
    """

    def __init__(self, settings, platform):
        self._vm_id = settings.daemon.vm_id
        self._engine = platform.engine
        self._versions = Versions(platform.store, platform.codec)
        self._task = None

    async def start(self):
        """Begin to follow and order."""
        self._versions.start()
        self._task = asyncio.create_task(self._run())

    async def drain(self):
        """Give no order any more."""
        await self._versions.stop()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def stop(self):
        """Release everything."""
        await self.drain()

    async def _run(self):
        while True:
            await self._versions.news.wait()
            self._versions.news.clear()
            for model in list(self._versions.wanted_by_model):
                await asyncio.sleep(WAVE_S * self._wave())
                await self._move(model)

    def _wave(self):
        """Return which pair of replicas this one belongs to."""
        digits = re.findall(r"\d+$", self._vm_id)
        return (int(digits[0]) - 1) // PAIR if digits else 0

    async def _move(self, model):
        """Order until the engine has the version wanted now."""
        loop = asyncio.get_running_loop()
        order_at = loop.time() + IDLE_WAIT_S
        while True:
            wanted = self._versions.wanted_by_model[model]
            try:
                report = await self._engine.report()
                if report.version_by_model.get(model, wanted) >= wanted:
                    return
                is_idle = not report.running or loop.time() >= order_at
                if not report.is_busy and is_idle:
                    await self._order(report, model, wanted)
            except exceptions.AnvilwellError as error:
                _LOG.log("engine-unreachable", cause=error.message)
                await asyncio.sleep(RETRY_S)
            await asyncio.sleep(POLL_S)

    async def _order(self, report, model, wanted):
        order = engines.VersionOrder(
            report.replica_id,
            model,
            wanted,
            self._vm_id,
            # Versions only rise, and nobody else orders this engine.
            wanted,
            report.orders_taken,
        )
        end = await self._engine.order(order)
        _LOG.log(
            "version-ordered",
            replica=report.replica_id,
            model=model,
            version=wanted,
            had=report.version_by_model[model],
            running=report.running,
            end=str(end),
        )
        if end is not engines.OrderEnd.ACCEPTED:
            await asyncio.sleep(RETRY_S)
