"""Which of the fleet's agents an entry links to."""

from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import subsets


class Targets:
    """Keeps the agents of each service, and which of them are wanted.

    Each method that changes what is wanted returns the members to look
    at again; for a member that comes or goes they are as few as the
    subset changes by, whatever the fleet's size.

    Parameters
    ----------
    entry_id : str
        This entry.
    failure_domain : str
        Where it is.
    size : int
        Replicas of each service that it links to.
    """

    def __init__(self, entry_id, failure_domain, size):
        self._entry_id = entry_id
        self._failure_domain = failure_domain
        self._size = size
        self._services_by_name = {}
        # A new VM may get the address of one that is gone.
        self._members_by_address = {}

    def up(self, member):
        """Take in an agent that takes requests."""
        self._members_by_address[member.address] = member
        return self._service(member.service).up(member)

    def down(self, member):
        """Forget an agent."""
        owner = self._members_by_address.get(member.address)
        if owner and owner.vm_id == member.vm_id:
            del self._members_by_address[member.address]
        return self._service(member.service).down(member)

    def want_all(self, service):
        """Want every agent of `service` until ``release``."""
        state = self._service(service)
        state.users += 1
        return state.members

    def release(self, service):
        """Undo one ``want_all``."""
        state = self._service(service)
        state.users -= 1
        return state.members

    def widen(self, service):
        """Want twice as many agents; for a subset that is of no use."""
        state = self._service(service)
        state.widen(self._subset)
        return state.members

    def narrow(self, service):
        """Undo every ``widen``."""
        state = self._service(service)
        state.wide = None
        return state.members

    def subset(self, service):
        """Return the ids of the subset, without what was widened."""
        return set(self._service(service).subset.replicas_by_id)

    def is_wide(self, service):
        """Return whether `service` is widened."""
        return self._service(service).wide is not None

    def wants(self, address):
        """Return whether to link to the agent at `address`."""
        member = self._members_by_address.get(address)
        if member is None:
            return False
        return self._service(member.service).wants(member.vm_id)

    def _service(self, name):
        found = self._services_by_name.get(name)
        if found is None:
            found = _Service(self._subset(self._size), self._size)
            self._services_by_name[name] = found
        return found

    def _subset(self, size):
        settings = subsets.SubsetSettings(size)
        return subsets.Subset(self._entry_id, self._failure_domain, settings)


class _Service:
    """The agents of one service."""

    def __init__(self, subset, size):
        self.subset = subset
        self.wide = None
        self.users = 0
        self._size = size
        self._wide_size = size
        self._members_by_id = {}

    @property
    def members(self):
        """All agents of the service."""
        return list(self._members_by_id.values())

    def up(self, member):
        """Take in `member`; return the members to look at."""
        self._members_by_id[member.vm_id] = member
        return self._changed(
            member, [s.replica_up(_facts(member)) for s in self._subsets()]
        )

    def down(self, member):
        """Forget `member`; return the members to look at."""
        self._members_by_id.pop(member.vm_id, None)
        return self._changed(
            member, [s.replica_down(member.vm_id) for s in self._subsets()]
        )

    def widen(self, new_subset):
        """Choose by a subset of twice the size from now on."""
        if self.wide is None:
            self._wide_size = self._size
        self._wide_size = min(2 * self._wide_size, len(self._members_by_id))
        self.wide = new_subset(self._wide_size)
        for member in self._members_by_id.values():
            self.wide.replica_up(_facts(member))

    def wants(self, vm_id):
        """Return whether to link to the agent called `vm_id`."""
        if self.users:
            return vm_id in self._members_by_id
        return any(s.has_chosen(vm_id) for s in self._subsets())

    def _subsets(self):
        return [self.subset] if self.wide is None else [self.subset, self.wide]

    def _changed(self, member, changes):
        ids = {
            vm_id
            for change in changes
            for vm_id in (*change.added, *change.removed)
            if vm_id in self._members_by_id and vm_id != member.vm_id
        }
        others = [self._members_by_id[vm_id] for vm_id in sorted(ids)]
        return [member, *others]


def _facts(member):
    return facts.ReplicaFacts(member.vm_id, member.failure_domain)
