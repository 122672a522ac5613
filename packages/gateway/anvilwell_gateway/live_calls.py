"""The live calls of an entry: who may send them, and their way."""

from anvilwell_gateway import admission
from anvilwell_gateway import crash_tracker
from anvilwell_gateway.duties import reports
from anvilwell_gateway import forwarding


class LiveCalls:
    """Answers calls by replicas, and counts them for usage reports.

    Parameters
    ----------
    settings : config.Settings
        How keys are checked, and whether usage is reported.
    platform : platforms.Platform
        The adapter to the platform.
    fleet : fleet.Fleet
        What is known.
    pool : client.Pool
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
            fleet.news,
        )
        fleet.news.pass_on(crash_tracker.PREFIX, self.crash_tracker)
        fleet.news.listen_entries(self.crash_tracker.entries_changed)
        self.usage = reports.build(
            settings, platform, fleet.presence, fleet.news
        )
        self.forwarder = forwarding.Forwarder(
            platform.dialect,
            fleet.directory,
            pool,
            fleet.configuration,
            self.crash_tracker,
            self.usage.began,
        )

    @classmethod
    def from_config(cls, settings, platform, fleet, pool, peer_server):
        """Return what the settings ask for; peers tell it by `peer_server`."""
        live_calls = cls(settings, platform, fleet, pool)
        peer_server.handle(reports.TARGET, live_calls.usage.answer)
        for target in crash_tracker.TARGETS:
            peer_server.handle(target, live_calls.crash_tracker.answer)
        return live_calls

    async def answer(self, route, call, request, responder):
        """Answer `request`, which `route` allows, through `responder`."""
        if route.is_stream:
            await self.forwarder.stream(route, call, request, responder)
        else:
            await self.forwarder.forward(route, call, request, responder)

    def start(self):
        """Begin to count and report."""
        self.usage.start()

    async def stop(self):
        """Tell and report no more."""
        await self.crash_tracker.stop()
        await self.usage.stop()

    def gauge_values(self):
        """Return each `measures.GaugeValue` as of now."""
        return [*self.crash_tracker.gauge_values(), *self.usage.gauge_values()]
