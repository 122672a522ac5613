"""An entry's view of the configuration, the replicas and other entries."""

import asyncio

from anvilwell_decisions.traffic import regions
from anvilwell_gateway import cluster_state
from anvilwell_gateway import configuration as configurations
from anvilwell_gateway import directory as directories
from anvilwell_gateway import evacuations
from anvilwell_gateway import feeds
from anvilwell_gateway import measures
from anvilwell_gateway import neighbours
from anvilwell_gateway import presence as presences
from anvilwell_gateway import residency as residencies
from anvilwell_gateway import retirement
from anvilwell_gateway import store_paths
from anvilwell_gateway import wanted_versions


class Fleet:
    """Follows the store, and feeds the neighbours that follow this entry.

    Parameters
    ----------
    settings : config.Settings
        The settings of this process.
    platform : platforms.Platform
        The ports to the platform.
    """

    def __init__(self, settings, platform):
        daemon = settings.daemon
        self.store = platform.store
        self.failure_domain = daemon.failure_domain
        self.regions = regions.Regions(daemon.failure_domain, settings.regions)
        self.configuration = configurations.ConfigurationFollower(
            self.store, platform.codec
        )
        self._evacuations = evacuations.from_config(
            settings, self.store, platform.codec
        )
        self.directory = directories.Directory(
            self.store, platform.codec, self._evacuations
        )
        self.presence = presences.Presence(
            self.store,
            daemon.vm_id,
            daemon.failure_domain,
            daemon.cores * daemon.core_share,
            daemon.link_mbps,
        )
        self.store.listen_regained(self.presence.renew_soon)
        self.store_path = platform.store_path
        self.neighbours = neighbours.Neighbours(
            daemon.vm_id,
            daemon.failure_domain,
            self.presence.has_answered_recently,
            check_store=self.presence.renew_now,
        )
        self.feeds = feeds.Feeds(
            self.presence.can_confirm_ownership, self.presence.contact()
        )
        self.cluster_state = cluster_state.ClusterState(
            self.store, self.presence, self.store_path, self.neighbours
        )
        self.residency = residencies.ResidencyRules(
            self.configuration, self.regions, self.cluster_state
        )
        self.versions = wanted_versions.WantedVersions(
            self.store, platform.codec
        )
        self.retirement = retirement.RetirementResponder(
            self.store, platform.codec, self.cluster_state, daemon.vm_id
        )
        self._followers = [
            self.configuration,
            self.directory,
            self.cluster_state,
            self.versions,
            self.retirement,
        ]
        if settings.evacuation:
            self.add_follower(self._evacuations)

    @classmethod
    def from_config(cls, settings, platform, peer_server):
        """Return a fleet whose handlers are registered at `peer_server`."""
        fleet = cls(settings, platform)
        peer_server.handle(feeds.TARGET, fleet.feeds.answer)
        peer_server.handle(
            store_paths.RELAY_TARGET,
            store_paths.CallRelay(fleet.store_path.direct).answer,
        )
        return fleet

    @property
    def vm_id(self):
        """The id of this VM."""
        return self.presence.vm_id

    @property
    def has_loaded(self):
        """Whether it is known which replicas may be sent which requests."""
        return (
            self.configuration.current is not None
            and self.directory.is_loaded
            and self._evacuations.is_known
        )

    def add_follower(self, follower):
        """Add a `PrefixFollower` that starts and stops with the fleet."""
        self._followers.append(follower)

    def last_contact_at(self, engine):
        """Return the loop time of an agent's last contact, or -inf.

        Parameters
        ----------
        engine : str
            Address of the agent's engine.
        """
        return max(
            self.feeds.last_contact_at(engine),
            self.directory.last_notice_at(engine),
        )

    def start(self, peer_address):
        """Register with the address for peers, and start all followers."""
        self.presence.start(peer_address)
        for follower in self._followers:
            follower.start(self.neighbours, self.feeds)

    async def stop(self):
        """Stop all followers and the registration."""
        await asyncio.gather(*(one.stop() for one in self._followers))
        await self.presence.stop()

    async def close(self):
        """Close the connections to the store and to peers."""
        await self.store_path.close()
        self.neighbours.close()

    def gauge_values(self):
        """Return the current `measures.GaugeValue` of each gauge."""
        return [
            *self.configuration.gauge_values(),
            *self.presence.gauge_values(),
            *self.store_path.gauge_values(),
            *self.directory.gauge_values(),
            *self._evacuations.gauge_values(),
            measures.GaugeValue(
                "peers", len(self.cluster_state.incarnations_by_vm)
            ),
        ]
