"""Which other daemons share this one's services."""

from anvilwell_decisions.configuration import placement
from anvilwell_kernel.messages import membership as messages

_ENTRY = "entry"


class Fleet:
    """Chooses among the live members.

    Parameters
    ----------
    members : membership.Membership
        Who is there.
    instance : messages.Instance
        This process.
    role : member.Role
        What this process follows.
    rng : random.Random
        Chooses partners.
    """

    def __init__(self, members, instance, role, rng):
        self._members = members
        self._instance = instance
        self._role = role
        self._rng = rng

    def partner(self):
        """Return a live member with a service in common, or None."""
        return self._choose(self._sharing())

    def sponsor(self):
        """Return a live member that may sponsor this one, or None."""
        covering = [
            one
            for one in self._sharing()
            if one.role == _ENTRY or one.service == self._role.service
        ]
        return self._choose(covering)

    def neighbours(self, service):
        """Return the live members here that follow `service`."""
        return [
            one
            for one in self._others()
            if one.failure_domain == self._instance.failure_domain
            and (one.role == _ENTRY or one.service == service)
        ]

    def position(self, subject, service):
        """Return this instance's rank in its failure domain, from 0."""
        ids = [one.vm_id for one in self.neighbours(service)]
        ranked = placement.rank(subject, [*ids, self._instance.vm_id])
        return ranked.index(self._instance.vm_id)

    def is_watcher(self, count):
        """Return whether this instance is among the first `count`."""
        ids = [
            one.vm_id
            for one in self._others()
            if one.failure_domain == self._instance.failure_domain
        ]
        ranked = placement.rank("watch", [*ids, self._instance.vm_id])
        return self._instance.vm_id in ranked[:count]

    def common_services(self, member):
        """Return the services to compare with `member`; [] means all."""
        names = {self._role.service, member.service} - {""}
        return sorted(names)

    def _sharing(self):
        return [
            one
            for one in self._others()
            if one.role == _ENTRY or self._role.follows(one.service)
        ]

    def _others(self):
        return [
            one
            for one in self._members.members_by_id.values()
            if one.state is messages.State.LIVE
            and one.vm_id != self._instance.vm_id
        ]

    def _choose(self, members):
        return self._rng.choice(members) if members else None
