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
    residency : residency.ResidencyRules, optional
        The allowed regions in force; without it all regions are allowed.
    """

    def __init__(self, cluster_state, directory, owners, residency=None):
        self._residency = residency
        self._cluster_state = cluster_state
        self._owners = owners
        self._directory = directory

    def find(self, service, model):
        """Return the VM that runs a model's batches, None if there is none."""
        return self._choose(self._common(service), service, model)

    def ranked(self, service, model, bounds):
        """Return the VMs that may run batches with lists, the home first.

        Parameters
        ----------
        service, model : str
            As for `find`.
        bounds : residency.Bounds
            Where such a batch may be.
        """
        allowed = self._eligible_vms(self._residency.owners(bounds))
        common = [home for home in self._common(service) if home in allowed]
        home = self._choose(common, service, model)
        ranked = rendezvous.rank_vms(_duty(service), allowed)
        return sorted(ranked, key=lambda vm_id: vm_id != home)

    def _choose(self, homes, service, model):
        """Return the one of some homes that runs a model's batches."""
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
        """Return the homes of a service in order of their rank.

        Those that are homes only for batches with lists come last.
        """
        return (*self._common(service), *sorted(self.domains_by_home(service)))

    def domains_by_home(self, service):
        """Return the homes that run only batches with lists of a service.

        Returns
        -------
        dict
            The failure domains in which the batches of each such home may
            run, as a set.
        """
        rules = self._residency
        if rules is None or not rules.is_active:
            return {}
        common = self._common(service)
        domains_by_home = {}
        for batch_id, claim in self._owners.claims_by_id.items():
            owner = claim.owner
            is_other = owner.service == service and owner.vm_id not in common
            if not is_other or not self._is_running(batch_id, owner):
                continue
            bounds = rules.of_batch(batch_id, owner)
            if bounds is not None:
                known = domains_by_home.get(owner.vm_id, frozenset())
                domains_by_home[owner.vm_id] = known | bounds.domains
        return domains_by_home

    def _is_running(self, batch_id, owner):
        """Return whether a live process owns a batch that has not ended."""
        cluster_state = self._cluster_state
        live = cluster_state.live_by_vm.get(owner.vm_id)
        is_live = live is not None and live.incarnation == owner.incarnation
        return is_live and batch_id not in cluster_state.ended

    def _common(self, service):
        """Return the homes of the batches without lists of their own."""
        bounds = self._residency and self._residency.of_routes(service)
        allowed = self._residency.owners(bounds) if bounds else None
        eligible = self._eligible_vms(allowed)
        ranked = rendezvous.rank_vms(_duty(service), eligible)
        return tuple(ranked[: self._count(service, eligible)])

    def _eligible_vms(self, allowed=None):
        """Return the live key's value of each VM that may become a home.

        Only VMs in `allowed` are considered, all if it is None.
        """
        live_by_vm = self._cluster_state.live_by_vm
        if allowed is not None:
            live_by_vm = {vm_id: live_by_vm[vm_id] for vm_id in allowed}
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


def _duty(service):
    return f"run batches of {service}"


def gathering_key(route):
    """Return the key that groups batches at homes: the route's services."""
    return ",".join(sorted(target.service for target in route.targets))


def services_of_key(key):
    """Return the services named in a gathering key."""
    return key.split(",")
