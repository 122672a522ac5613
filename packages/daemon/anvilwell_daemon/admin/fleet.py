"""The fleet: status, drains and weight versions."""

from anvilwell_daemon.admin import changes
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import operators
from anvilwell_kernel import web

_LEAVING = "leaving"


class Fleet:
    """Handlers that use the services ``membership`` and ``replicas``."""

    def __init__(self, bridge, vm_id):
        self._bridge = bridge
        self._vm_id = vm_id

    def routes(self):
        """Return ``(rule, handler, methods)`` of each route."""
        return (
            ("/admin/status", self.status, ("GET",)),
            ("/admin/drain/<vm_id>", self.drain, ("POST",)),
            ("/admin/versions/<service>", self.versions, ("GET",)),
        )

    def status(self, request):
        """Answer `operators.Status`, also if services are missing."""
        unready = self._bridge.kernel.unready()
        return web.json_response(
            operators.Status(
                vm_id=self._vm_id,
                ready=not unready,
                unready=unready,
                services=self._services(),
                members=self._members(),
            )
        )

    def drain(self, request, vm_id):
        """Spread that `vm_id` takes no new work."""
        membership = self._bridge.service("membership")
        if vm_id not in membership.members_by_id:
            raise exceptions.NotFound(
                f"no VM {vm_id!r}; see the ids in anvilwell status"
            )
        self._bridge.run(membership.mark_leaving, [vm_id])
        return web.json_response(
            operators.Drained(vm_id=vm_id, state=_LEAVING)
        )

    def versions(self, request, service):
        """Answer `operators.Versions`."""
        configuration = self._bridge.service("configuration")
        replicas = self._bridge.service("replicas")
        document = self._bridge.run(configuration.document, service)
        if document.model is None:
            raise exceptions.NotFound(f"{service} has no model")
        found = self._bridge.run(replicas.candidates, service)
        return web.json_response(
            operators.Versions(
                service=service,
                desired=document.model.version,
                replicas=[_replica(candidate) for candidate in found],
            )
        )

    def _services(self):
        if not self._bridge.kernel.has("configuration"):
            return []
        return changes.summaries(self._bridge)

    def _members(self):
        if not self._bridge.kernel.has("membership"):
            return []
        membership = self._bridge.service("membership")
        members = self._bridge.run(lambda: dict(membership.members_by_id))
        return [_member(members[vm_id]) for vm_id in sorted(members)]


def _member(member):
    return operators.Member(
        vm_id=member.vm_id,
        address=member.address,
        failure_domain=member.failure_domain,
        role=member.role,
        service=member.service,
        state=member.state.name.lower(),
    )


def _replica(candidate):
    return operators.ReplicaVersion(
        vm_id=candidate.replica_id,
        failure_domain=candidate.failure_domain,
        version=candidate.load.version if candidate.load else "",
    )
