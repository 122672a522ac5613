"""Builds the policies of deployments that span several regions."""

import functools

from anvilwell_decisions.requests import dealing
from anvilwell_decisions.requests import near_replicas


class NearRouting:
    """Deals the usable replicas of each service to the live entries.

    Parameters
    ----------
    fleet : fleet.Fleet
        The live entries, the replicas and the regions.
    idle_count : callable
        Returns the number of usable idle connections to a replica id.
    """

    def __init__(self, fleet, idle_count):
        self._fleet = fleet
        self._idle_count = idle_count
        self._dealt_by_service = {}
        fleet.cluster_state.listen_entries(self._dealt_by_service.clear)
        fleet.directory.listen(self._replicas_changed)

    @classmethod
    def from_config(cls, fleet, pool):
        """Return the routing of this deployment, None in a single region."""
        if not fleet.regions.has_several:
            return None
        return cls(fleet, pool.idle_count)

    def policy(self, service, rng):
        """Return a policy that chooses among the replicas of `service`."""
        return near_replicas.NearReplicas(
            rng,
            self._fleet.regions,
            self._idle_count,
            functools.partial(self._dealt, service),
        )

    def _replicas_changed(self, changed):
        if changed.is_membership:
            self._dealt_by_service.clear()

    def _dealt(self, service):
        """Return the ids of the replicas of a service dealt to this entry."""
        known = self._dealt_by_service.get(service)
        if known is None:
            known = self._dealt_by_service[service] = self._deal(service)
        return known

    def _deal(self, service):
        fleet = self._fleet
        domains_by_entry = fleet.cluster_state.domains_by_vm
        # A VM that has lost its live key still uses the replicas.
        domains_by_entry[fleet.vm_id] = fleet.failure_domain
        replicas = [
            dealing.DealtReplica(
                replica.replica_id, replica.failure_domain, replica.slots
            )
            for replica in fleet.directory.usable(service)
        ]
        dealt_by_entry = dealing.deal(
            domains_by_entry, replicas, fleet.regions
        )
        return dealt_by_entry[fleet.vm_id]
