"""The registry and the lifecycle of the services of a process."""

import abc
import itertools

from anvilwell_kernel import exceptions


class Service(abc.ABC):
    """A component of a process with a name and a lifecycle.

    All methods run on the process's event loop. ``needs`` holds the names
    of the services that are started before this one; ``start`` may look
    up other services by name. ``in_flight`` holds the ids of the requests
    that a drain waits for.
    """

    name = None
    needs = ()
    in_flight = ()

    async def start(self, kernel):
        """Start the service; `kernel` gives access to other services."""

    async def drain(self):
        """Accept no new work and wait until work in flight has ended."""

    async def stop(self):
        """Release all resources; must not fail after an incomplete start."""

    def is_ready(self):
        """Return whether the service can do its work at the moment."""
        return True


class Kernel:
    """Starts, drains and stops the services of one process."""

    def __init__(self, services=()):
        self._services_by_name = {}
        self._started = []
        self.is_draining = False
        for service in services:
            self.add(service)

    def add(self, service):
        """Register `service` under its name, which must be unique."""
        if service.name in self._services_by_name:
            raise exceptions.Conflict(
                f"two services have the name {service.name!r}"
            )
        self._services_by_name[service.name] = service

    def get(self, name):
        """Return the service called `name`.

        Raises
        ------
        exceptions.NotFound
            If no service has that name.
        """
        try:
            return self._services_by_name[name]
        except KeyError:
            raise exceptions.NotFound(f"no service {name!r}") from None

    def has(self, name):
        """Return whether a service called `name` is registered."""
        return name in self._services_by_name

    async def start(self):
        """Start all services, each one after those that it needs."""
        for service in self._in_order():
            self._started.append(service)
            await service.start(self)

    async def drain(self):
        """Drain the services in reverse order of their start."""
        self.is_draining = True
        for service in reversed(self._started):
            await service.drain()

    async def stop(self):
        """Stop the services in reverse order of their start."""
        while self._started:
            await self._started.pop().stop()

    def in_flight(self):
        """Return the ids of the requests in flight, by service name."""
        return {
            service.name: sorted(service.in_flight)
            for service in self._started
            if service.in_flight
        }

    def unready(self):
        """Return the names of the services that are not ready."""
        return sorted(
            service.name
            for service in self._services_by_name.values()
            if not service.is_ready()
        )

    def _in_order(self):
        ordered = {}
        for name in self._services_by_name:
            self._visit(name, ordered, ())
        return list(ordered.values())

    def _visit(self, name, ordered, path):
        if name in ordered:
            return
        if name in path:
            cycle = " -> ".join(itertools.chain(path, [name]))
            raise exceptions.Conflict(
                f"services depend on each other: {cycle}"
            )
        service = self.get(name)
        for needed in service.needs:
            self._visit(needed, ordered, (*path, name))
        ordered[name] = service
