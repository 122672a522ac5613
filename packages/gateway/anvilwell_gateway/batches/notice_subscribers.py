"""Determines which entries receive agents' notices about a service.

Agents send notices of the versions that their engines load.
"""

import asyncio

from anvilwell_gateway.batches import homes as all_homes

# Interval at which the subscribers are computed again, in seconds. With
# hundreds of agents, doing so at each notice would cost more than the notices
# themselves.
REFRESH_INTERVAL_S = 0.25


class NoticeSubscribers:
    """Finds the entries that run batches of a service now or may next.

    Parameters
    ----------
    cluster_state : cluster_state.ClusterState
        The live entries.
    owners : owners.Owners
        The owners of all batches.
    configuration : configuration.ConfigurationFollower
        Its routes determine which services share their homes.
    homes : all_homes.Homes
        The homes of each service.
    """

    def __init__(self, cluster_state, owners, configuration, homes):
        self._cluster_state = cluster_state
        self._owners = owners
        self._configuration = configuration
        self._homes = homes
        self._clock = asyncio.get_running_loop().time
        self._refreshed_at = float("-inf")
        self._vms_by_service = {}

    def find(self, service):
        """Return the VMs that need notices of `service`.

        If it is None, return those that need notices of any service.
        """
        now = self._clock()
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refreshed_at = now
            self._vms_by_service = self._find_subscribers()
        if service is None:
            return sorted(set().union(*self._vms_by_service.values()))
        return sorted(self._vms_by_service.get(service, ()))

    def _find_subscribers(self):
        """Return the homes and the live owners of batches, by service."""
        incarnations_by_vm = self._cluster_state.incarnations_by_vm
        current = self._configuration.current
        routes = current.routes if current else ()
        gathering_keys = {
            all_homes.gathering_key(one) for one in routes if one.is_batch
        }
        pairs = {
            (name, home)
            for name in gathering_keys
            for home in self._homes.all(name)
        }
        pairs |= {
            (claim.owner.service, claim.owner.vm_id)
            for claim in self._owners.claims_by_id.values()
            if incarnations_by_vm.get(claim.owner.vm_id)
            == claim.owner.incarnation
        }
        vms_by_service = {}
        for name, vm_id in pairs:
            for service in all_homes.services_of_key(name):
                vms_by_service.setdefault(service, set()).add(vm_id)
        return vms_by_service
