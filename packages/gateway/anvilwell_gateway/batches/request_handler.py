"""Handles requests about batches: submissions, reads and ends."""

import asyncio

import cbor2

from anvilwell_gateway.batches import owner_client as owner_clients
from anvilwell_gateway.batches import reader as readers
from anvilwell_gateway.batches import sizes
from anvilwell_gateway import dialect as dialects
from anvilwell_gateway import measures
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

MAX_PAGE_BYTES = 900 << 10
# Largest results that an owner sends to an entry in another failure domain, in
# bytes. For fewer bytes, a read of the store would cost more than the traffic
# between the domains.
MAX_REMOTE_BYTES = 64 << 10
# Retry-After of a response while the store does not answer, in seconds.
# Outages last for seconds and trainers retry only once, so an immediate retry
# would be wasted.
STORE_RETRY_AFTER_S = 2.5
END_TIMEOUT_S = 2.0
# How long a read waits for a write of results in progress, in seconds: many
# times the usual response time of the store. The response to a write that
# takes longer may have been lost after it took effect.
PENDING_WRITE_WAIT_S = 0.1

_LOG = logs.get_logger(__name__)
_JSON = ("Content-Type", "application/json")


class BatchRequestHandler:
    """Handles the requests of callers and of other entries about batches.

    Parameters
    ----------
    batch_store : records.BatchStore
        Reads and writes batches.
    manager : manager.BatchManager
        The batches of this process.
    intake : intake.Intake
        Accepts new batches.
    dialect : dialect.Dialect
        Decodes requests and encodes pages of results.
    owners : owners.Owners
        The owners of all batches.
    cluster_state : cluster_state.ClusterState
        The ended batches.
    owner_client : owner_client.OwnerClient
        Sends requests to other owners of batches.
    budget : byte_budget.ByteBudget
        Limits the bytes buffered for callers that read slowly.
    can_confirm_ownership : callable
        Returns whether the store answered recently enough that no other
        process can own a batch of this one.
    residency : residency.ResidencyRules
        The allowed regions in force.
    """

    def __init__(
        self,
        batch_store,
        manager,
        intake,
        dialect,
        owners,
        cluster_state,
        owner_client,
        budget,
        can_confirm_ownership,
        residency,
    ):
        self._store = batch_store
        self._manager = manager
        self._intake = intake
        self._dialect = dialect
        self._cluster_state = cluster_state
        self._owner_client = owner_client
        self._budget = budget
        self._can_confirm_ownership = can_confirm_ownership
        self._owners = owners
        self._reader = readers.Reader(
            batch_store, dialect, owners, residency, budget
        )

    async def submit(self, route, call, request, responder):
        """Accept a batch; respond once it is durable."""
        try:
            await self._intake.accept(route, request)
        except exceptions.AnvilwellError as error:
            await self._refuse(call, request, error, responder)
            return
        _LOG.log(
            "batch-accepted",
            request_id=call.request_id,
            organisation=request.organisation,
        )
        _measure(request, 202)
        await responder.send(202, (), b"")

    async def submit_forwarded(self, route, request, responder):
        """Accept a forwarded batch; respond with the status for the caller."""
        try:
            await self._intake.accept_here(route, request)
        except exceptions.AnvilwellError as error:
            status = _status(error)
            _LOG.log("batch-not-taken-in", status=status, cause=error.message)
            await responder.send(status)
            return
        await responder.send(202)

    async def handle(self, call, request_id, responder):
        """Handle a `dialect.BatchCall`: a read, an item's body or an end."""
        handlers_by_verb = {
            dialects.BatchVerb.READ: self._read,
            dialects.BatchVerb.BODY: self._body,
            dialects.BatchVerb.END: self._end,
        }
        try:
            await handlers_by_verb[call.verb](call, responder)
        except exceptions.AnvilwellError as error:
            if responder.has_started:
                raise
            _LOG.log(
                "batch-call-failed",
                request_id=request_id,
                batch_id=call.batch_id,
                verb=call.verb.value,
                cause=error.message,
            )
            counters.count_refusal(error.reason)
            headers = self._dialect.failure_headers(
                request_id, STORE_RETRY_AFTER_S
            )
            await responder.send(503, headers)

    async def _refuse(self, call, request, error, responder):
        counters.count_refusal(error.reason)
        status = _status(error)
        _LOG.log(
            "batch-refused",
            request_id=call.request_id,
            organisation=request.organisation,
            status=status,
            reason=str(error.reason),
            verdict=str(error.verdict),
            cause=error.message,
        )
        _measure(request, status)
        retry_after_s = STORE_RETRY_AFTER_S if status == 503 else None
        headers = self._dialect.failure_headers(call.request_id, retry_after_s)
        await responder.send(status, headers)

    async def _read(self, call, responder):
        is_owner = call.batch_id in self._manager.batches_by_id
        results_request = owner_clients.ResultsRequest(
            call.batch_id, call.after, call.wait_s
        )
        found, source = await self._local_page(results_request), "memory"
        if found is None and not is_owner:
            found, source = (
                await self._owner_client.read(results_request),
                "owner",
            )
        if found is None or not found.results:
            reported, found = (
                found,
                await self._stored_page(results_request, found),
            )
            source = source if reported is found else "store"
        if found is None:
            await self._not_found(call, responder)
            return
        total, results = found.total, found.results or ()
        page = sizes.fit_results(
            results, self._budget.page_bytes(MAX_PAGE_BYTES)
        )
        _LOG.routine(
            "batch-read",
            batch_id=call.batch_id,
            after=call.after,
            results=len(page),
            listed=found.listed,
            source=source,
        )
        body = self._dialect.encode_results_page(
            total, page, call.after + len(page)
        )
        await responder.send(200, (_JSON,), body)

    async def _local_page(self, results_request):
        """Return the `ResultsPage` of a batch that this process owns.

        Returns None if it does not own the batch, or if only the store can
        confirm that there is no result at the position.
        """
        batch = self._manager.batches_by_id.get(results_request.batch_id)
        if batch is None:
            return None
        if results_request.wait_s and not batch.state.is_ended:
            await batch.wait_listed(
                results_request.after, results_request.wait_s
            )
        if not batch.covers_position(results_request.after):
            await batch.wait_for_pending_write(PENDING_WRITE_WAIT_S)
        if not batch.covers_position(
            results_request.after
        ) and not self._is_authoritative(batch):
            return None
        listed = batch.state.listed
        return owner_clients.ResultsPage(
            batch.state.total,
            len(listed),
            tuple(listed[results_request.after :]),
        )

    def _is_authoritative(self, batch):
        """Return whether the store cannot have more results than `batch`."""
        if self._manager.batches_by_id.get(batch.batch_id) is not batch:
            return False
        if self._owners.is_superseded(batch.batch_id, batch.claim):
            return False
        return not batch.has_pending_write and self._can_confirm_ownership()

    async def _stored_page(self, results_request, reported):
        """Return the `ResultsPage` from the store, or None.

        If the number of results that the owner `reported` shows that there
        is nothing new, the store is not read.
        """
        known = self._reader.cached_count(results_request.batch_id)
        if reported and max(reported.listed, known) <= results_request.after:
            return reported
        found = await self._reader.read(
            results_request.batch_id,
            results_request.after,
            reported and reported.listed,
        )
        if found is None:
            return None
        total, results = found
        return owner_clients.ResultsPage(
            total, results_request.after + len(results), results
        )

    async def read_for_peer(self, request, responder):
        """Answer another entry's request for results of a local batch."""
        results_request = owner_clients.read_results_request(request.body)
        page = await self._local_page(results_request)
        if page is None:
            raise exceptions.NotFound("only the store can confirm the results")
        results = None
        is_small = sizes.total_bytes(page.results) <= MAX_REMOTE_BYTES
        if results_request.with_results or is_small:
            results = tuple(sizes.fit_results(page.results, MAX_PAGE_BYTES))
        body = cbor2.dumps(page._replace(results=results))
        await responder.send(200, (), body)

    async def _body(self, call, responder):
        batch = self._manager.batches_by_id.get(call.batch_id)
        item = batch and batch.state.items_by_id.get(call.item_id)
        body = item.body if item else None
        # An item that is listed has its body in the store alone.
        if body is None and (item or not batch):
            body = await self._reader.body(call.batch_id, call.item_id)
        if body is None:
            await self._not_found(call, responder)
            return
        kind = ("Content-Type", "application/octet-stream")
        await responder.send(200, (kind,), body)

    async def _end(self, call, responder):
        if call.batch_id not in self._cluster_state.ended:
            batch = self._manager.batches_by_id.get(call.batch_id)
            if batch is not None:
                self._manager.end(call.batch_id)
            elif not await self._reader.exists(call.batch_id):
                await self._not_found(call, responder)
                return
            await self._store.end(call.batch_id, END_TIMEOUT_S)
            # The owner is notified after the write: during an outage of the
            # store it could not save its texts.
            await self._owner_client.end(call.batch_id)
        await responder.send(200, (_JSON,), b"{}")

    async def end_for_peer(self, request, responder):
        """End a local batch whose end another entry received."""
        self._manager.end(owner_clients.read_end(request.body))
        await responder.send(200)

    async def _not_found(self, call, responder):
        _LOG.log("batch-unknown", batch_id=call.batch_id, verb=call.verb.value)
        await responder.send(404)


def _status(error):
    """Return the status for a refused submission.

    503 guarantees that the batch was not accepted; 504 leaves it open.
    """
    if isinstance(error, exceptions.BadRequest | exceptions.Conflict):
        return error.status
    return 503 if error.verdict is verdicts.Verdict.NOT_RUN else 504


def _measure(request, status):
    took_s = asyncio.get_running_loop().time() - request.received_at
    measures.record(measures.SUBMISSIONS, took_s, status=str(status))
