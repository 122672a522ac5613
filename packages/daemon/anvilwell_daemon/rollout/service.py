"""The service ``rollout``: makes entries candidates for rollout leader."""

import asyncio

import xxhash

from anvilwell_daemon.rollout import leader as leaders
from anvilwell_kernel import clock as clocks
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import membership
from anvilwell_kernel import services
from anvilwell_kernel.telemetry import logs

CANDIDATES = 2
TURN_PERIOD_S = 2.0

_LOG = logs.get_logger(__name__)


class Rollout(services.Service):
    """Runs a `leader.Leader` for each service it is a candidate for.

    For each service, only the first two live entries by a hash of the
    service and the entry's id are candidates. Reads of the key-value
    service therefore grow with the services and not with the entries.
    """

    name = "rollout"
    needs = ("configuration", "membership", "leases", "peers", "order-relay")

    def __init__(self, weight_store=None, *, clock=None):
        self._weight_store = weight_store
        self._clock = clock or clocks.SystemClock()
        self._leaders_by_service = {}
        self._tasks_by_service = {}
        self._kernel = None
        self._candidacy_task = None

    async def start(self, kernel):
        """Start checking which services this entry is a candidate for."""
        self._kernel = kernel
        self._candidacy_task = asyncio.create_task(self._check_candidacies())

    async def drain(self):
        """Stop leading, so that another entry takes over."""
        await self.stop()

    async def stop(self):
        """Stop leading and being a candidate."""
        tasks = [*self._tasks_by_service.values()]
        if self._candidacy_task:
            tasks.append(self._candidacy_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def progress(self, service):
        """Return the service's ``reconciler.Progress``.

        Raises
        ------
        exceptions.NotFound
            If this entry does not lead the service's rollout.
        """
        leader = self._leaders_by_service.get(service)
        if leader is None or leader.progress is None:
            raise exceptions.NotFound(
                f"this entry does not lead the rollout of {service!r}"
            )
        return leader.progress

    async def _check_candidacies(self):
        while True:
            for service in self._kernel.get("configuration").services():
                self._update_candidacy(service)
            await asyncio.sleep(TURN_PERIOD_S)

    def _update_candidacy(self, service):
        self._remove_ended(service)
        is_candidate = self._is_candidate(service)
        if service not in self._tasks_by_service:
            if is_candidate and self._is_model(service):
                self._start_leader(service)
        elif not is_candidate and not self._leaders_by_service[service].leads:
            self._tasks_by_service[service].cancel()

    def _remove_ended(self, service):
        task = self._tasks_by_service.get(service)
        if task is None or not task.done():
            return
        del self._tasks_by_service[service]
        del self._leaders_by_service[service]
        if not task.cancelled() and task.exception():
            _LOG.log(
                "leader-failed", service=service, error=repr(task.exception())
            )

    def _start_leader(self, service):
        leader = leaders.Leader(
            service, self._kernel, self._clock, self._weight_store
        )
        self._leaders_by_service[service] = leader
        task = asyncio.create_task(leader.run())
        self._tasks_by_service[service] = task

    def _is_model(self, service):
        try:
            document = self._kernel.get("configuration").document(service)
        except exceptions.AnvilwellError:
            return False
        return document.model is not None

    def _is_candidate(self, service):
        members = self._kernel.get("membership")
        entries = [
            member.vm_id
            for member in members.in_state(membership.State.LIVE)
            if member.role == "entry"
        ]
        ranked = sorted(entries, key=lambda vm_id: _rank(service, vm_id))
        return members.me.vm_id in ranked[:CANDIDATES]


def _rank(service, vm_id):
    return xxhash.xxh64_intdigest(f"{service}/{vm_id}".encode())
