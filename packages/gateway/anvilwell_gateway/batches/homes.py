"""At which entry the batches of a service are gathered.

Trainers submit each step to another entry. If each ran what it took, ten
entries would fill one replica's slots from ten counts: what does not fit
queues there, is taken for a stall and goes elsewhere, its prompt read in
vain. One entry that runs all batches of a service counts them all, and
finds its connections to the replicas open.
"""

from anvilwell_decisions.duties import choice

# VMs differ by a factor of six in what they can process. Gathered batches
# go to those with at least this share of the best one's capacity.
LEAST_SHARE = 0.7


class Homes:
    """Finds the entry that runs the batches of a route's service.

    Parameters
    ----------
    news : news.News
        The entries that live, and what they can process.
    """

    def __init__(self, news):
        self._news = news

    def find(self, service):
        """Return the VM that runs batches of `service`, None if none."""
        capacities = self._news.capacities_by_vm
        best = max(capacities.values(), default=0.0)
        able = [
            vm_id
            for vm_id, capacity in capacities.items()
            if capacity >= LEAST_SHARE * best
        ]
        return choice.chosen(f"run batches of {service}", able)


def service_of(route):
    """Return what a route's batches are gathered by: all its services."""
    return ",".join(sorted(target.service for target in route.targets))


def services_in(gathered):
    """Return the services whose batches are gathered under one name."""
    return gathered.split(",")
