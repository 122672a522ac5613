"""Chooses a service's homes: the entries that run its batches.

Trainers may submit each step to a different entry. If each entry ran the
batches that it received, ten entries would count the free slots of a replica
independently and overfill it. Items beyond its slots queue at the replica,
are mistaken for stalled ones and move to another replica, and their prompts
have been processed in vain. A single entry that runs all batches of a service
counts slots correctly and also has open connections to the replicas. A
service with more items than one entry can run has several homes, each for
the batches of some of its models; `slot_sharing` divides the slots among
them.
"""

from anvilwell_decisions.batches import slots as home_slots
from anvilwell_decisions.duties import rendezvous

# Only VMs with at least this share of the largest capacity become homes: the
# processing capacity of VMs differs by a factor of six.
MIN_CAPACITY_SHARE = 0.7


class Homes:
    """Finds the entry that runs the batches of a service's model.

    Parameters
    ----------
    cluster_state : cluster_state.ClusterState
        The live entries and their capacities.
    directory : directory.Directory
        The replicas.
    owners : owners.Owners
        The owners of the current batches.
    """

    def __init__(self, cluster_state, directory, owners):
        self._cluster_state = cluster_state
        self._owners = owners
        self._directory = directory

    def find(self, service, model):
        """Return the VM that runs a model's batches, None if there is none."""
        homes = self.all(service)
        if not homes:
            return None
        if len(homes) == 1:
            return homes[0]
        models = self._models(service)
        # Models are assigned to homes in turn. If the home of each model were
        # chosen by a hash of its name, three models could get the same one of
        # three homes.
        number = models.index(model) if model in models else 0
        return homes[number % len(homes)]

    def all(self, service):
        """Return the homes of a service in order of their rank."""
        eligible = self._eligible_vms()
        ranked = rendezvous.rank_vms(f"run batches of {service}", eligible)
        return tuple(ranked[: self._count(service, eligible)])

    def _eligible_vms(self):
        """Return the live key's value of each VM that may become a home."""
        live_by_vm = self._cluster_state.live_by_vm
        best = max((one.capacity for one in live_by_vm.values()), default=0.0)
        return {
            vm_id: live
            for vm_id, live in live_by_vm.items()
            if live.capacity >= MIN_CAPACITY_SHARE * best
        }

    def _count(self, service, eligible):
        items_per_home = min(
            (
                home_slots.item_capacity(live.capacity, live.link_mbps)
                for live in eligible.values()
            ),
            default=0.0,
        )
        items = self._expected_items(service)
        if items <= items_per_home:
            return 1
        slots = sum(one.slots for one in self._replicas(service))
        return home_slots.homes_needed(
            min(items, slots), items_per_home, len(self._models(service))
        )

    def _expected_items(self, service):
        """Return the total items of each model's newest batch.

        A trainer's steps are of similar size, so the total is stable during
        a training run.
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
        """Return the sorted names of the models at a service's replicas."""
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
    """Return the key that groups batches at homes: the route's services."""
    return ",".join(sorted(target.service for target in route.targets))


def services_of_key(key):
    """Return the services named in a gathering key."""
    return key.split(",")
