"""Shares a service's places with its other homes."""

import asyncio
import typing

import cbor2
import pydantic

from anvilwell_decisions.batches import slots as home_slots
from anvilwell_gateway.http import client
from anvilwell_gateway import measures
from anvilwell_gateway import peer_calls
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

TARGET = "/places"
# Between two questions to one lender, in seconds: an item waits so long for
# a place that is free elsewhere.
ASK_S = 0.2
# A lender answers from memory. One that needs longer keeps its places.
LIMITS = peer_calls.CallLimits(timeout_s=0.3, max_bytes=1 << 20)

_ASK = pydantic.TypeAdapter(home_slots.SlotRequest)
_COUNTS = pydantic.TypeAdapter(dict[str, int])

_LOG = logs.get_logger(__name__)


class SlotUsage(typing.NamedTuple):
    """What this entry does at the replicas of one service.

    ``waiting`` counts its items that find no place.
    """

    waiting: int
    workers: list


class SlotSharing:
    """Knows which places this entry may use, lends and borrows some.

    Parameters
    ----------
    vm_id : str
        This VM.
    cluster_state : cluster_state.ClusterState
        Where the other entries are.
    homes : homes.Homes
        Which of them are homes of a service.
    """

    def __init__(self, vm_id, cluster_state, homes):
        self._vm_id = vm_id
        self._cluster_state = cluster_state
        self._homes = homes
        self._places_by_service = {}
        self._asked_at_by_key = {}
        self._asking = set()
        self._pool = client.Pool(asyncio.get_running_loop().time, True)
        # Returns the `Use` of a service; told that limits have changed.
        self.use_of = None
        self.on_change = None

    def look(self, services):
        """Take in which homes these services have now.

        Returns
        -------
        bool
            Whether any of them has several, or had until now.
        """
        before = any(map(self.is_split, services))
        for service in services:
            known = self._places_by_service.setdefault(
                service, home_slots.HomeSlots(self._vm_id)
            )
            known.set_homes(self._homes.all(service))
        return before or any(map(self.is_split, services))

    def limit(self, replica):
        """Return how many places of a replica may be used, None for all."""
        known = self._places_by_service.get(replica.service)
        if known is None or not known.lenders:
            return None
        now = asyncio.get_running_loop().time()
        return known.limit(replica.replica_id, replica.slots, now)

    def is_split(self, service):
        """Return whether a service has several homes."""
        known = self._places_by_service.get(service)
        return known is not None and bool(known.lenders)

    def ask(self, service):
        """Ask the other homes for places, and name what is used."""
        if not self.is_split(service):
            return
        now = asyncio.get_running_loop().time()
        use = self.use_of(service)
        known = self._places_by_service[service]
        using_by_lender = {lender: {} for lender in known.lenders}
        for worker in use.workers:
            replica_id = worker.replica.replica_id
            owner = known.owner(replica_id)
            if worker.running and owner in using_by_lender:
                using_by_lender[owner][replica_id] = worker.running
        for lender, using_by_replica in using_by_lender.items():
            asked_at = self._asked_at_by_key.get((service, lender))
            is_due = asked_at is None or now - asked_at >= ASK_S
            if is_due and (use.waiting or using_by_replica):
                self._asked_at_by_key[service, lender] = now
                ask = home_slots.SlotRequest(
                    service, self._vm_id, use.waiting, using_by_replica
                )
                self._start(self._ask(lender, ask, known, now))

    def _start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)

    async def _ask(self, lender, ask, known, now):
        known.record_request(lender, ask.using_by_replica, now)
        self.on_change()
        address = self._cluster_state.addresses_by_vm.get(lender)
        if address is None:
            return
        try:
            body = await peer_calls.call(
                self._pool, lender, address, TARGET, ask, LIMITS
            )
            counts_by_replica = _COUNTS.validate_python(cbor2.loads(body))
        except (
            exceptions.BackendFailed,
            cbor2.CBORError,
            ValueError,
        ) as error:
            _LOG.log("places-not-lent", lender=lender, cause=repr(error))
            return
        known.record_loan(lender, counts_by_replica, now)
        self.on_change()

    async def answer(self, request, responder):
        """Lend places to another home."""
        ask = peer_calls.decode(_ASK, request.body, "question for places")
        self.look([ask.service])
        known = self._places_by_service[ask.service]
        now = asyncio.get_running_loop().time()
        use = self.use_of(ask.service)
        own = [
            worker
            for worker in use.workers
            if known.owner(worker.replica.replica_id) == self._vm_id
        ]
        free_slots_by_replica = {
            worker.replica.replica_id: worker.free_slots
            for worker in own
            if not use.waiting and worker.not_before <= now
        }
        slots = sum(worker.replica.slots for worker in own)
        counts_by_replica = known.lend(ask, slots, free_slots_by_replica, now)
        _LOG.routine(
            "places-lent",
            borrower=ask.borrower,
            wanted=ask.wanted,
            lent=sum(counts_by_replica.values()),
        )
        self.on_change()
        await responder.send(200, (), cbor2.dumps(counts_by_replica))

    def gauge_values(self):
        """Return how many places are lent and borrowed, of split services."""
        now = asyncio.get_running_loop().time()
        split = [
            one for one in self._places_by_service.values() if one.lenders
        ]
        if not split:
            return []
        lent = sum(known.lent_count(now) for known in split)
        borrowed = sum(known.borrowed_count(now) for known in split)
        return [
            measures.GaugeValue("places_lent", lent),
            measures.GaugeValue("places_borrowed", borrowed),
        ]

    def close(self):
        """Ask no more."""
        for task in self._asking:
            task.cancel()
        self._pool.close()
