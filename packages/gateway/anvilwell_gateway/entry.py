"""The entry role: serves callers and trainers, and runs batches."""

import asyncio

from anvilwell_decisions.requests import byte_budget
from anvilwell_gateway.batches import service as batch_service
from anvilwell_gateway import engine_claims
from anvilwell_gateway import fleet as fleets
from anvilwell_gateway import frontend as frontends
from anvilwell_gateway.http import connection_pool
from anvilwell_gateway.http import listening
from anvilwell_gateway import live_calls as live
from anvilwell_gateway import measures
from anvilwell_gateway import metrics_page
from anvilwell_gateway import peer_server as peer_servers
from anvilwell_gateway import substitute_ordering
from anvilwell_kernel.telemetry import logs

# Seconds after SIGTERM during which new connections are still accepted. The
# balancer checks readiness once a second and stops after two failed checks,
# so it sends connections until then.
LISTEN_AFTER_SIGTERM_S = 2.6
# Longest wait in seconds for the calls of peers at shutdown. A watch that is
# relayed for a peer may take many times as long, and is aborted.
PEER_DRAIN_TIMEOUT_S = 1.0

_LOG = logs.get_logger(__name__)


class Entry:
    """Builds, starts and stops the parts of an entry.

    Parameters
    ----------
    settings : config.Settings
        The settings of this process.
    platform : platforms.Platform
        The ports to the platform.
    early_listeners : listening.EarlyListeners, optional
        Sockets that listen already.
    """

    def __init__(self, settings, platform, early_listeners=None):
        self._early_listeners = early_listeners or listening.EarlyListeners({})
        self._budget = byte_budget.ByteBudget.from_memory(
            settings.daemon.memory_mb
        )
        self.peer_server = peer_servers.PeerServer(
            settings.entry.peers, self._budget
        )
        self.fleet = fleets.Fleet.from_config(
            settings, platform, self.peer_server
        )
        self._pool = connection_pool.Pool(
            asyncio.get_running_loop().time,
            uses_oldest=self.fleet.regions.has_several,
        )
        self.live_calls = live.LiveCalls.from_config(
            settings, platform, self.fleet, self._pool, self.peer_server
        )
        self._batches = batch_service.Batches.from_config(
            platform,
            self.fleet,
            self.live_calls,
            self._pool,
            self.peer_server,
            self._budget,
        )
        self.frontend = frontends.Frontend(
            settings.entry,
            platform.dialect,
            self.fleet,
            self.live_calls,
            self._batches,
            self._early_listeners,
            self._budget,
        )
        self._substitute_orderer = substitute_ordering.SubstituteOrderer(
            self.fleet.vm_id,
            self.fleet.directory,
            self.fleet.versions,
            self.fleet.neighbours,
            self.fleet.last_contact_at,
            engine_claims.EngineClaims(self.fleet.store, self.fleet.vm_id),
            platform.engine_at,
            self._batches.manager.min_versions_by_model,
        )
        self._metrics = metrics_page.MetricsPage(
            settings.metrics, self._gauge_values
        )

    @property
    def vm_id(self):
        """The id of this entry's VM."""
        return self.fleet.vm_id

    @property
    def batches(self):
        """The batches that this entry owns, by id."""
        return self._batches.manager.batches_by_id

    @property
    def retention(self):
        """The part that removes old batches."""
        return self._batches.retention

    @property
    def directory(self):
        """The directory of registered replicas."""
        return self.fleet.directory

    @property
    def configuration_version(self):
        """The version of the configuration in force, None before one."""
        current = self.fleet.configuration.current
        return current.version if current else None

    @property
    def usage_holder(self):
        """The id of the VM that reports usage, None if unknown."""
        return self.live_calls.usage.holder

    @property
    def crash_tracker(self):
        """The record of requests that crash replicas."""
        return self.live_calls.crash_tracker

    @property
    def in_flight(self):
        """The number of callers' requests in flight."""
        return self.frontend.in_flight

    @property
    def port(self):
        """The port that callers connect to."""
        return self.frontend.port

    @property
    def peer_address(self):
        """The address at which other VMs call this one."""
        return self.peer_server.address

    @property
    def incarnations_by_vm(self):
        """The incarnation of each live entry, by the id of its VM."""
        return self.fleet.cluster_state.incarnations_by_vm

    @property
    def metrics_port(self):
        """The port of the metrics page."""
        return self._metrics.port

    @property
    def health_port(self):
        """The port of the readiness check."""
        return self.frontend.health_port

    async def start(self):
        """Listen for connections and start to follow the store."""
        for problem in self._early_listeners.problems:
            _LOG.log("listens-late", cause=problem)
        await self.frontend.start()
        await self.peer_server.start()
        await self._metrics.start()
        self.fleet.start(self.peer_address)
        self._substitute_orderer.start()
        self.live_calls.start()
        self._batches.start()

    async def drain(self):
        """Hand over all work and answer the requests that were received.

        Callers use their connections until these close, so every part that
        answers requests runs until then. The server for peers stops last.
        """
        self._batches.refuse_new()
        self.frontend.start_draining()
        loop = asyncio.get_running_loop()
        close_at = loop.time() + LISTEN_AFTER_SIGTERM_S
        await self._substitute_orderer.stop()
        await self._batches.release()
        await self.live_calls.usage.release_duty()
        await self.fleet.presence.drain()
        await asyncio.sleep(close_at - loop.time())
        await self.frontend.finish()
        await self.live_calls.usage.stop()
        await self._drain_peer_server()

    async def _drain_peer_server(self):
        try:
            async with asyncio.timeout(PEER_DRAIN_TIMEOUT_S):
                await self.peer_server.finish()
        except TimeoutError:
            await self.peer_server.abort()

    async def abort(self):
        """Respond to and abort the requests in flight at the drain limit."""
        await asyncio.gather(
            self.frontend.abort_requests(), self.peer_server.abort()
        )

    async def stop(self):
        """Stop all parts and close all connections."""
        await self._substitute_orderer.stop()
        await self.fleet.stop()
        await self.live_calls.stop()
        await self._batches.stop()
        await self.frontend.stop()
        await self.peer_server.stop()
        await self._metrics.stop()
        await self.fleet.close()
        self._pool.close()

    def _gauge_values(self):
        """Return the current `measures.GaugeValue` of each gauge."""
        return [
            *self.fleet.gauge_values(),
            *self._batches.manager.gauge_values(),
            *self._batches.slot_sharing.gauge_values(),
            *self.live_calls.gauge_values(),
            measures.GaugeValue("bytes_held", self._budget.held_bytes),
        ]
