"""Answers live calls: admission, forwarding and usage accounting.

A live call is a request outside of batches. It is forwarded to a replica while
its caller waits for the response.
"""

from anvilwell_gateway import admission
from anvilwell_gateway import cold_replicas
from anvilwell_gateway import crash_tracker
from anvilwell_gateway import crash_writer
from anvilwell_gateway.duties import usage_accounting
from anvilwell_gateway import forwarding
from anvilwell_gateway import near_routing


class LiveCalls:
    """Forwards live calls to replicas, and counts them for usage reports.

    Parameters
    ----------
    settings : config.Settings
        Says how keys are checked, and whether usage is reported.
    platform : platforms.Platform
        The adapter to the platform.
    fleet : fleet.Fleet
        Local copies of the configuration, the replicas and other entries.
    pool : connection_pool.Pool
        Connections to replicas.
    """

    def __init__(self, settings, platform, fleet, pool):
        self.admission = admission.CallerAdmission(
            platform.dialect,
            fleet.configuration,
            fleet.presence,
            settings.organisations,
        )
        self.crash_tracker = crash_tracker.CrashTracker(
            fleet.store,
            fleet.directory,
            fleet.vm_id,
            fleet.cluster_state,
        )
        fleet.cluster_state.delegate_prefix(
            crash_writer.PREFIX, self.crash_tracker
        )
        fleet.cluster_state.listen_entries(self.crash_tracker.entries_changed)
        self.cold_replicas = cold_replicas.ColdReplicas(
            settings.cold_replicas,
            fleet.vm_id,
            fleet.configuration,
            fleet.directory,
            fleet.cluster_state,
            fleet.presence,
        )
        self.usage = usage_accounting.build(
            settings, platform, fleet.presence, fleet.cluster_state
        )
        self.forwarder = forwarding.Forwarder(
            platform.dialect,
            fleet.directory,
            pool,
            fleet.configuration,
            self.crash_tracker,
            self.cold_replicas,
            self.usage.count_request,
            residency=fleet.residency,
            near_routing=near_routing.NearRouting.from_config(fleet, pool),
        )

    @classmethod
    def from_config(cls, settings, platform, fleet, pool, peer_server):
        """Return live calls whose handlers are registered at `peer_server`."""
        live_calls = cls(settings, platform, fleet, pool)
        peer_server.handle(usage_accounting.TARGET, live_calls.usage.answer)
        for target in crash_tracker.TARGETS:
            peer_server.handle(target, live_calls.crash_tracker.answer)
        return live_calls

    async def answer(self, route, call, request, responder):
        """Forward `request` by `route` and answer it through `responder`."""
        if route.is_stream:
            await self.forwarder.stream(route, call, request, responder)
        else:
            await self.forwarder.forward(route, call, request, responder)

    def start(self):
        """Start to count calls and report usage."""
        self.usage.start()

    async def stop(self):
        """Stop the crash notifications and usage reports."""
        await self.crash_tracker.stop()
        await self.usage.stop()

    def gauge_values(self):
        """Return the current `measures.GaugeValue` list of live calls."""
        return [
            *self.crash_tracker.gauge_values(),
            *self.cold_replicas.gauge_values(),
            *self.usage.gauge_values(),
        ]
