"""Instances that started while the key-value service was down."""

import typing


class Sponsored(typing.NamedTuple):
    """Whom an instance depends on, and when it last heard from it."""

    sponsor: object
    heard_at: float


class Sponsors:
    """The instances that this one stands for, by service."""

    def __init__(self):
        self._services_by_instance = {}

    def add(self, instance, services):
        """Stand for `instance` from now on, in place of its VM's last."""
        self._services_by_instance = {
            one: held
            for one, held in self._services_by_instance.items()
            if one.vm_id != instance.vm_id
        }
        self._services_by_instance[instance] = frozenset(services)

    def end(self, instance):
        """Stand for `instance` no longer: it is in the service's list."""
        self._services_by_instance.pop(instance, None)

    def __contains__(self, instance):
        return instance in self._services_by_instance

    def of(self, service):
        """Return the sponsored instances that follow `service`."""
        return [
            instance
            for instance, services in self._services_by_instance.items()
            if not services or service in services
        ]


class Standing:
    """Whether this instance may serve at all.

    It may once it is in the service's member list, or while its
    sponsor has been heard within the bound.
    """

    def __init__(self, bounds):
        self._bounds = bounds
        self.is_listed = False
        self.sponsored = None

    def list(self):
        """Note that this instance is in the member list."""
        self.is_listed = True
        self.sponsored = None

    def hear(self, sponsor, asked_at):
        """Note an answer of `sponsor` to a question of `asked_at`."""
        if self.is_listed:
            return
        self.sponsored = Sponsored(sponsor, asked_at)

    def may_serve(self, now):
        """Return whether this instance may serve at `now`."""
        if self.is_listed:
            return True
        if self.sponsored is None:
            return False
        return now - self.sponsored.heard_at < self._bounds.sponsor_s
