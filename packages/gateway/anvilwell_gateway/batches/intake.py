"""Accepts batches from trainers."""

import asyncio
import time

import xxhash

from anvilwell_decisions.requests import byte_budget
from anvilwell_decisions.traffic import organisations
from anvilwell_gateway.batches import homes as all_homes
from anvilwell_gateway.batches import records
from anvilwell_gateway.batches import submission_forwarding
from anvilwell_gateway.batches import uploads
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

# How long a submission waits for a store that refuses its calls, in seconds.
# Trainers retry a few times with hardly a pause between, so the wait of each
# attempt lets them together outlast a short outage.
REFUSED_TIMEOUT_S = 1.2
# How long a submission waits for a store that does not answer, in seconds. It
# is a little longer than the wait for a store that refuses, so that an outcome
# that becomes certain by then can still be reported.
ACCEPT_TIMEOUT_S = 1.4
# How long a write of unknown outcome is retried in the background, in seconds:
# longer than late writes and outages of the store take.
RESOLVE_TIMEOUT_S = 30.0

_LOG = logs.get_logger(__name__)


class Intake:
    """Accepts each batch exactly once.

    Parameters
    ----------
    batch_store : records.BatchStore
        Reads and writes batches.
    opener : opening.BatchOpener
        Opens the batches that this process owns.
    takeovers : takeovers.Takeovers
        Takes over orphaned batches; not while they are accepted here.
    manager : manager.BatchManager
        Runs the batches that this process owns.
    presence : presence.Presence
        The registration of this process in the store.
    dialect : dialect.Dialect
        Decodes submissions.
    submission_forwarder : submission_forwarding.SubmissionForwarder
        Forwards batches whose home is another entry.
    residency : residency.ResidencyRules
        The allowed regions in force.
    budget : byte_budget.ByteBudget
        Counts submissions that are stored after their request has ended.
    """

    def __init__(
        self,
        batch_store,
        opener,
        takeovers,
        manager,
        presence,
        dialect,
        submission_forwarder,
        residency,
        budget,
    ):
        self._store = batch_store
        self._opener = opener
        self._takeovers = takeovers
        self._manager = manager
        self._presence = presence
        self._dialect = dialect
        self._submission_forwarder = submission_forwarder
        self._residency = residency
        self._budget = budget
        self._pending_writes = set()
        # Loop time by which all submissions so far have been answered.
        self._answered_by = 0.0
        self.is_draining = False

    async def accept(self, route, request):
        """Accept the batch in `request`; it is durable on return.

        Raises
        ------
        exceptions.BadRequest
            If it is not a valid batch.
        exceptions.Conflict
            If its id was used for a different batch.
        exceptions.KeyValueUnavailable
            If it could not be stored; ``NOT_RUN`` guarantees that it was
            not accepted.
        """
        head = self._dialect.read_submission_head(request)
        batch_id = organisations.owned_id(request.organisation, head.batch_id)
        outcome = submission_forwarding.ForwardOutcome.NOT
        if batch_id not in self._manager.batches_by_id:
            outcome = await self._submission_forwarder.forward(
                route, head.model, request
            )
        if outcome is submission_forwarding.ForwardOutcome.ACCEPTED:
            return
        try:
            await self.accept_here(route, request)
        except exceptions.AnvilwellError as error:
            if outcome is submission_forwarding.ForwardOutcome.UNKNOWN:
                # The other entry may have accepted it.
                error.verdict = verdicts.Verdict.MAY_HAVE_RUN
            raise

    async def accept_here(self, route, request):
        """Accept the batch in `request` for this entry to run.

        Raises
        ------
        exceptions.AnvilwellError
            As `accept` does.
        """
        submission = self._submission(request)
        digest = xxhash.xxh3_128_hexdigest(request.body)
        batch = self._manager.batches_by_id.get(submission.batch_id)
        if batch is not None:
            _check_same(batch.claim.owner, digest, submission)
            return
        if self.is_draining:
            raise exceptions.Refused(
                "this VM is stopping", reason=reasons.Refusal.DRAINING
            )
        self._check_region(route, request)
        if not self._presence.is_registered:
            # Other entries would consider the owner dead and take the batch
            # over.
            raise exceptions.Refused(
                "this VM is not registered in the store",
                reason=reasons.Refusal.KEY_VALUE_UNAVAILABLE,
            )
        owner = self._new_owner(
            submission, digest, time.time(), all_homes.gathering_key(route)
        )
        stored_submission = uploads.StoredSubmission(
            request.target,
            request.headers,
            request.body,
            request.organisation,
        )
        accepting = asyncio.create_task(
            self._write(route, submission, owner, stored_submission)
        )
        self._pending_writes.add(accepting)
        accepting.add_done_callback(self._on_write_finished)
        timeout_s = ACCEPT_TIMEOUT_S + uploads.extra_s(len(request.body))
        answered_by = asyncio.get_running_loop().time() + timeout_s
        self._answered_by = max(self._answered_by, answered_by)
        try:
            done, _ = await asyncio.wait((accepting,), timeout=timeout_s)
        finally:
            self._charge_until_done(accepting, request)
        if not done:
            raise exceptions.KeyValueUnavailable(
                "the store has not answered; the batch may have been accepted",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        claim = accepting.result()
        _check_same(claim.owner, digest, submission)

    def _charge_until_done(self, accepting, request):
        """Hold memory for a submission that is stored after its request."""
        if accepting.done():
            return
        memory = byte_budget.Hold(
            self._budget, byte_budget.COPIES * len(request.body)
        )
        accepting.add_done_callback(lambda _: memory.shrink_to(0))

    def _check_region(self, route, request):
        """Refuse a batch that this VM may not own."""
        bounds = self._residency.of_request(route, request.organisation)
        if not self._residency.may_own(bounds):
            raise exceptions.Refused(
                "no entry in an allowed region has accepted the batch",
                reason=reasons.Refusal.REGION_NOT_ALLOWED,
            )

    async def _write(self, route, submission, owner, stored_submission):
        """Store the batch and open it, even after the caller has left.

        A write may take effect after the caller's request has failed. This
        process then owns the batch, and no other one would run it. A batch
        that another submission stored may have results already, so it is not
        opened here, even if this process owns it.
        """
        batch_id = submission.batch_id
        with self._takeovers.suspended(batch_id):
            with self._residency.relays_of_submission(submission):
                claim, carried = await self._store_batch(
                    route, batch_id, owner, stored_submission
                )
            if claim.owner == owner._replace(parts=claim.owner.parts):
                self._opener.open(route, submission, claim, ((), 0, carried))
        return claim

    async def _store_batch(self, route, batch_id, owner, stored_submission):
        return await asyncio.gather(
            self._store.accept(
                batch_id,
                owner,
                stored_submission,
                RESOLVE_TIMEOUT_S,
                REFUSED_TIMEOUT_S,
            ),
            self._carried(route, stored_submission.organisation),
        )

    async def _carried(self, route, organisation):
        try:
            return await self._store.carried(route, organisation)
        except exceptions.AnvilwellError as error:
            _LOG.log("texts-not-read", cause=error.message)
            return ()

    def _on_write_finished(self, task):
        self._pending_writes.discard(task)
        if not task.cancelled() and task.exception():
            _LOG.log("batch-not-accepted", cause=str(task.exception()))

    def _new_owner(self, submission, digest, submitted_at, service):
        presence = self._presence
        return records.Owner(
            presence.vm_id,
            presence.incarnation,
            len(submission.items),
            digest,
            submitted_at,
            0,
            service,
            submission.model,
            f"{submission.host}{submission.path}"
            if self._residency.is_active
            else "",
        )

    def _submission(self, request):
        """Return the `facts.Submission` in a caller's request."""
        return organisations.owned(
            self._dialect.read_submission(request), request.organisation
        )

    async def stop(self):
        """Stop once the submissions in progress are answered."""
        self.is_draining = True
        wait_s = self._answered_by - asyncio.get_running_loop().time()
        if self._pending_writes and wait_s > 0:
            await asyncio.wait(self._pending_writes, timeout=wait_s)
        await tasks.stop(*self._pending_writes)


def _check_same(owner, digest, submission):
    if owner.digest != digest:
        raise exceptions.Conflict(
            f"batch {submission.batch_id} was accepted with other items"
        )
