"""At which entries the batches of a service are gathered.

Trainers submit each step to another entry. If each ran what it took, ten
entries would fill one replica's slots from ten counts: what does not fit
queues there, is taken for a stall and goes elsewhere, its prompt read in
vain. One entry that runs all batches of a service counts them all, and
finds its connections to the replicas open. A service whose batches are more
than one entry can run has several homes, each for the batches of some of its
models; `sharing` keeps their counts apart.
"""

from anvilwell_decisions.batches import slots as home_slots
from anvilwell_decisions.duties import rendezvous

# VMs differ by a factor of six in what they can process. Gathered batches
# go to those with at least this share of the best one's capacity.
MIN_CAPACITY_SHARE = 0.7


class Homes:
    """Finds the entry that runs the batches of a service's model.

    Parameters
    ----------
    cluster_state : cluster_state.ClusterState
        The entries that live, and what they can process.
    directory : directory.Directory
        The replicas.
    owners : owners.Owners
        The batches that there are.
    """

    def __init__(self, cluster_state, directory, owners):
        self._cluster_state = cluster_state
        self._owners = owners
        self._directory = directory

    def find(self, service, model):
        """Return the VM that runs batches of a model, None if none."""
        homes = self.all(service)
        if not homes:
            return None
        if len(homes) == 1:
            return homes[0]
        models = self._models(service)
        # One by one: three models drawn for three homes would meet.
        number = models.index(model) if model in models else 0
        return homes[number % len(homes)]

    def all(self, service):
        """Return the homes of a service, the first one first."""
        eligible = self._eligible_vms()
        ranked = rendezvous.rank_vms(f"run batches of {service}", eligible)
        return tuple(ranked[: self._count(service, eligible)])

    def _eligible_vms(self):
        """Return the VMs that run batches, as live_by_vm."""
        live_by_vm = self._cluster_state.live_by_vm
        best = max((one.capacity for one in live_by_vm.values()), default=0.0)
        return {
            vm_id: live
            for vm_id, live in live_by_vm.items()
            if live.capacity >= MIN_CAPACITY_SHARE * best
        }

    def _count(self, service, eligible):
        carried = min(
            (
                home_slots.item_capacity(live.capacity, live.link_mbps)
                for live in eligible.values()
            ),
            default=0.0,
        )
        items = self._expected_items(service)
        if items <= carried:
            return 1
        slots = sum(one.slots for one in self._replicas(service))
        return home_slots.homes_needed(
            min(items, slots), carried, len(self._models(service))
        )

    def _expected_items(self, service):
        """Return how many items the newest batches of all models have.

        A trainer's steps are alike, so that changes little while it trains.
        """
        newest_by_model = {}
        for claim in self._owners.claims_by_id.values():
            owner = claim.owner
            if owner.service == service:
                known = newest_by_model.get(owner.model, owner)
                newest_by_model[owner.model] = max(
                    known, owner, key=lambda one: one.submitted_at
                )
        return sum(owner.total for owner in newest_by_model.values())

    def _models(self, service):
        """Return the models that a service's replicas have, sorted."""
        names = {
            model
            for replica in self._replicas(service)
            for model, _ in replica.versions
        }
        return sorted(names)

    def _replicas(self, service):
        """Return the registered replicas of a service."""
        return [
            replica
            for replica in self._directory.replicas_by_id.values()
            if replica.service == service
        ]


def gathering_key(route):
    """Return what a route's batches are gathered by: all its services."""
    return ",".join(sorted(target.service for target in route.targets))


def services_of_key(key):
    """Return the services whose batches are gathered under one name."""
    return key.split(",")
