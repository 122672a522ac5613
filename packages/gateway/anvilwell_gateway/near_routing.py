"""Builds the policies of deployments that span several regions."""

import functools

from anvilwell_decisions.requests import near_replicas
from anvilwell_decisions.requests import replica_assignment


class NearRouting:
    """Assigns the usable replicas of each service to the live entries.

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
        self._assigned_by_service = {}
        fleet.cluster_state.listen_entries(self._assigned_by_service.clear)
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
            functools.partial(self._assigned, service),
        )

    def _replicas_changed(self, changed):
        if changed.is_membership:
            self._assigned_by_service.clear()

    def _assigned(self, service):
        """Return the ids of a service's replicas assigned to this entry."""
        known = self._assigned_by_service.get(service)
        if known is None:
            known = self._assigned_by_service[service] = self._assign(service)
        return known

    def _assign(self, service):
        fleet = self._fleet
        domains_by_entry = fleet.cluster_state.domains_by_vm
        # A VM that has lost its live key still uses the replicas.
        domains_by_entry[fleet.vm_id] = fleet.failure_domain
        replicas = [
            replica_assignment.AssignableReplica(
                replica.replica_id, replica.failure_domain, replica.slots
            )
            for replica in fleet.directory.usable(service)
        ]
        assigned_by_entry = replica_assignment.assign(
            domains_by_entry, replicas, fleet.regions
        )
        return assigned_by_entry[fleet.vm_id]
