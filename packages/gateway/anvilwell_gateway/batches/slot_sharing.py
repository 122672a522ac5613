"""Lends and borrows slots of a service's replicas among its homes."""

import asyncio
import typing

import cbor2
import pydantic

from anvilwell_decisions.batches import slots as home_slots
from anvilwell_gateway.http import connection_pool
from anvilwell_gateway import measures
from anvilwell_gateway import peer_calls
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TARGET = "/places"
# Interval between two requests to one lender, in seconds. An item waits up to
# this long for a slot that is free at another home.
REQUEST_INTERVAL_S = 0.2
# Limits of a request to a lender, which answers from memory. If it takes
# longer, nothing is borrowed.
CALL_LIMITS = peer_calls.CallLimits(timeout_s=0.3, max_bytes=1 << 20)

_SLOT_REQUEST = pydantic.TypeAdapter(home_slots.SlotRequest)
_COUNTS = pydantic.TypeAdapter(dict[str, int])

_LOG = logs.get_logger(__name__)


class SlotUsage(typing.NamedTuple):
    """Use of one service's replicas by the items of this entry.

    ``waiting`` is the number of items for which no slot is free. They can use
    slots in ``domains`` only, None for all failure domains.
    """

    waiting: int
    workers: list
    domains: frozenset[str] | None = None


class SlotSharing:
    """Determines which slots this entry may use; lends and borrows slots.

    Parameters
    ----------
    vm_id : str
        This VM.
    cluster_state : cluster_state.ClusterState
        The addresses of the other entries.
    homes : homes.Homes
        The homes of each service.
    """

    def __init__(self, vm_id, cluster_state, homes):
        self._vm_id = vm_id
        self._cluster_state = cluster_state
        self._homes = homes
        self._slots_by_service = {}
        self._requested_at_by_key = {}
        self._tasks = set()
        self._pool = connection_pool.Pool(
            asyncio.get_running_loop().time, True
        )
        # Callbacks set by the scheduler: the first returns the `SlotUsage` of
        # a service, the second is called when limits have changed.
        self.usage_of = None
        self.on_change = None

    def update_homes(self, services):
        """Update the homes of the given services.

        Returns
        -------
        bool
            Whether any of them has several homes or had until now.
        """
        before = any(map(self.is_split, services))
        for service in services:
            service_slots = self._slots_by_service.setdefault(
                service, home_slots.HomeSlots(self._vm_id)
            )
            service_slots.set_homes(
                self._homes.all(service), self._homes.domains_by_home(service)
            )
        return before or any(map(self.is_split, services))

    def limit(self, replica):
        """Return how many slots of a replica may be used, None for all."""
        service_slots = self._slots_by_service.get(replica.service)
        if service_slots is None or not service_slots.lenders:
            return None
        now = asyncio.get_running_loop().time()
        return service_slots.limit(
            replica.replica_id, replica.slots, now, replica.failure_domain
        )

    def borrowed(self, replica, now):
        """Return how many of a replica's slots its owner lends this home.

        Only slots in the owner's last answer count.
        """
        service_slots = self._slots_by_service.get(replica.service)
        if service_slots is None:
            return 0
        return service_slots.confirmed(
            replica.replica_id, now, replica.failure_domain
        )

    def is_split(self, service):
        """Return whether a service has several homes."""
        service_slots = self._slots_by_service.get(service)
        return service_slots is not None and bool(service_slots.lenders)

    def request_slots(self, service):
        """Request slots from other homes; report which of theirs are used."""
        service_slots = self._slots_by_service.get(service)
        if service_slots is None or not (
            service_slots.lenders or service_slots.lenders_to_guest()
        ):
            return
        now = asyncio.get_running_loop().time()
        usage = self.usage_of(service)
        lenders = service_slots.lenders
        if _has_limits(usage):
            # An entry that isn't a home may send little to replicas that may
            # be cold, unless their owners lend it slots.
            lenders = service_slots.lenders_to_guest() or lenders
        using_by_lender = {lender: {} for lender in lenders}
        for worker in usage.workers:
            replica_id = worker.replica.replica_id
            owner = _owner(service_slots, worker)
            if worker.running and owner in using_by_lender:
                using_by_lender[owner][replica_id] = worker.running
        for lender, using_by_replica in using_by_lender.items():
            requested_at = self._requested_at_by_key.get((service, lender))
            is_due = (
                requested_at is None
                or now - requested_at >= REQUEST_INTERVAL_S
            )
            if is_due and (usage.waiting or using_by_replica):
                self._requested_at_by_key[service, lender] = now
                slot_request = home_slots.SlotRequest(
                    service,
                    self._vm_id,
                    usage.waiting,
                    using_by_replica,
                    usage.domains,
                )
                self._start(
                    self._send_request(
                        lender, slot_request, service_slots, now
                    )
                )

    def _start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_request(self, lender, slot_request, service_slots, now):
        service_slots.record_request(
            lender, slot_request.using_by_replica, now
        )
        self.on_change()
        address = self._cluster_state.addresses_by_vm.get(lender)
        if address is None:
            return
        # Entries of earlier releases don't know the domains.
        has_domains = slot_request.domains is not None
        content = slot_request if has_domains else slot_request[:-1]
        try:
            body = await peer_calls.call(
                self._pool, lender, address, TARGET, content, CALL_LIMITS
            )
            counts_by_replica = _COUNTS.validate_python(cbor2.loads(body))
        except (
            exceptions.BackendFailed,
            cbor2.CBORError,
            ValueError,
        ) as error:
            _LOG.log("places-not-lent", lender=lender, cause=repr(error))
            return
        service_slots.record_loan(lender, counts_by_replica, now)
        self.on_change()

    async def handle_request(self, request, responder):
        """Lend slots to another home."""
        slot_request = peer_calls.decode(
            _SLOT_REQUEST, request.body, "request for slots"
        )
        self.update_homes([slot_request.service])
        service_slots = self._slots_by_service[slot_request.service]
        now = asyncio.get_running_loop().time()
        usage = self.usage_of(slot_request.service)
        own = [
            worker
            for worker in usage.workers
            if _owner(service_slots, worker) == self._vm_id
        ]
        free_slots_by_replica = {
            worker.replica.replica_id: worker.available_slots(now)
            for worker in own
            if not usage.waiting
            and worker.not_before <= now
            and slot_request.allows(worker.replica.failure_domain)
        }
        slots = sum(worker.replica.slots for worker in own)
        counts_by_replica = service_slots.lend(
            slot_request, slots, free_slots_by_replica, now
        )
        for worker in own:
            lent = counts_by_replica.get(worker.replica.replica_id, 0)
            if worker.sends is not None and lent:
                worker.sends.lend(
                    slot_request.borrower, lent, now + home_slots.LOAN_S
                )
        _LOG.routine(
            "places-lent",
            borrower=slot_request.borrower,
            wanted=slot_request.wanted,
            lent=sum(counts_by_replica.values()),
        )
        self.on_change()
        await responder.send(200, (), cbor2.dumps(counts_by_replica))

    def gauge_values(self):
        """Return gauges of lent and borrowed slots if any service is split."""
        now = asyncio.get_running_loop().time()
        split = [one for one in self._slots_by_service.values() if one.lenders]
        if not split:
            return []
        lent = sum(service_slots.lent_count(now) for service_slots in split)
        borrowed = sum(
            service_slots.borrowed_count(now) for service_slots in split
        )
        return [
            measures.GaugeValue("places_lent", lent),
            measures.GaugeValue("places_borrowed", borrowed),
        ]

    def close(self):
        """Cancel requests in progress and close the connections."""
        for task in self._tasks:
            task.cancel()
        self._pool.close()


def _owner(service_slots, worker):
    """Return the home that a worker's replica is assigned to."""
    replica = worker.replica
    return service_slots.owner(replica.replica_id, replica.failure_domain)


def _has_limits(usage):
    """Return whether the replicas of a `SlotUsage` may be cold."""
    return any(worker.sends is not None for worker in usage.workers)
