"""Takes batches over from owners that are gone."""

import asyncio
import collections
import contextlib

import xxhash

from anvilwell_decisions.traffic import facts
from anvilwell_decisions.traffic import organisations
from anvilwell_gateway.batches import records
from anvilwell_gateway.batches import uploads
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# Delay between the candidates for a dead owner's batch, in seconds: they try
# to take it over one after another.
RANK_DELAY_S = 0.4
# How long a batch that is taken over waits until older batches that are being
# taken over here too are open, in seconds. The batch of a trainer's earlier
# step ends sooner, but takes longer to read from the store. Without the wait,
# a later batch would open first and take the slots that the earlier one needs.
OLDER_BATCH_WAIT_S = 0.3

_LOG = logs.get_logger(__name__)


class Takeovers:
    """Takes over orphaned batches, whose owner's process is gone.

    It also drops batches that other processes have taken over, and releases
    those that this VM may not own.

    Parameters
    ----------
    batch_store : records.BatchStore
        Reads and writes batches.
    opener : opening.BatchOpener
        Opens the batches that were taken over.
    manager : manager.BatchManager
        Runs the batches that this process owns.
    presence : presence.Presence
        The registration of this process in the store.
    cluster_state : cluster_state.ClusterState
        The live entries and the ended batches.
    owners : owners.Owners
        The owners of all batches.
    dialect : dialect.Dialect
        Decodes stored submissions.
    homes : homes.Homes
        The homes of each service.
    residency : residency.ResidencyRules
        The allowed regions in force.
    budget : byte_budget.ByteBudget
        Limits the memory of the batches that are taken over.
    """

    def __init__(
        self,
        batch_store,
        opener,
        manager,
        presence,
        cluster_state,
        owners,
        dialect,
        homes,
        residency,
        budget,
    ):
        self._store = batch_store
        self._opener = opener
        self._manager = manager
        self._presence = presence
        self._cluster_state = cluster_state
        self._owners = owners
        self._dialect = dialect
        self._homes = homes
        self._residency = residency
        self._budget = budget
        # Number of submissions in progress, by batch id.
        self._accepting_counts = collections.Counter()
        self._tasks = set()
        self._taking_over = set()
        # Ids of batches that this process owns and may not open.
        self._releasing = set()
        self._opening_times = {}
        self._has_started = False
        self.is_draining = False
        cluster_state.listen(self._on_news)
        owners.listen(self._check_ownership)
        residency.listen(self.check_all_owners)
        manager.on_lost = self.check_all_owners

    @contextlib.contextmanager
    def suspended(self, batch_id):
        """Don't take a batch over while it is being accepted here."""
        self._accepting_counts[batch_id] += 1
        try:
            yield
        finally:
            self._accepting_counts[batch_id] -= 1
            if not self._accepting_counts[batch_id]:
                del self._accepting_counts[batch_id]
            # The owner may have died meanwhile.
            self._check_ownership({batch_id})

    async def stop(self):
        """Stop the takeovers in progress."""
        await tasks.stop(*self._tasks)

    def _on_news(self, lost, ended):
        for batch_id in ended:
            self._manager.end(batch_id)
        if lost:
            self.check_all_owners()

    def start(self):
        """Allow takeovers: routes, owners and live entries are loaded."""
        self._has_started = True
        self.check_all_owners()

    def check_all_owners(self):
        """Check the owners of all batches and start takeovers."""
        self._check_ownership(set(self._owners.claims_by_id))

    def _check_ownership(self, batch_ids):
        """Drop batches owned by other processes and take over orphans.

        A batch whose owner has not been received yet is checked on receipt.
        """
        if not self._has_started:
            return
        for batch_id in batch_ids:
            batch = self._manager.batches_by_id.get(batch_id)
            if batch and self._owners.is_superseded(batch_id, batch.claim):
                self._start(self._drop(batch))
            elif batch_id not in self._taking_over and self._may_be_orphan(
                batch_id
            ):
                self._taking_over.add(batch_id)
                self._start(self._take_over(batch_id))
            elif self._is_stranded(batch_id):
                self._start(self._release(batch_id))

    def _is_stranded(self, batch_id):
        """Return whether this process owns a batch that it may not open.

        Its lists changed between the write of the claim and the opening.
        """
        claim = self._owners.claims_by_id.get(batch_id)
        if not self._residency.is_active or claim is None:
            return False
        owner = claim.owner
        return (
            (owner.vm_id, owner.incarnation)
            == (self._presence.vm_id, self._presence.incarnation)
            and not self._may_own(batch_id, owner)
            and batch_id not in self._taking_over
            and batch_id not in self._accepting_counts
            and not self._manager.holds(batch_id)
        )

    async def _release(self, batch_id):
        """Release a batch, so that an entry that may own it takes it over.

        It is repeated, as no other process takes over a batch of a live owner.
        """
        if batch_id in self._releasing:
            return
        self._releasing.add(batch_id)
        try:
            while self._is_stranded(batch_id):
                if await self._try_release(batch_id):
                    return
                await asyncio.sleep(RANK_DELAY_S)
        finally:
            self._releasing.discard(batch_id)

    async def _try_release(self, batch_id):
        """Release a batch; return whether it succeeded."""
        claim = self._owners.claims_by_id[batch_id]
        try:
            await self._store.release(batch_id, claim)
        except exceptions.AnvilwellError as error:
            _LOG.log(
                "batch-not-released", batch_id=batch_id, cause=error.message
            )
            return False
        return True

    def _start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _drop(self, batch):
        await self._manager.drop(batch, "another process owns it")

    def _may_be_orphan(self, batch_id):
        """Return whether the local copy of the owners shows an orphan."""
        claim = self._owners.claims_by_id.get(batch_id)
        return (
            claim is not None
            and not self.is_draining
            and self._may_own(batch_id, claim.owner)
            and self._is_orphan(
                batch_id, claim.owner, self._cluster_state.incarnations_by_vm
            )
        )

    def _may_own(self, batch_id, owner):
        """Return whether the lists of a batch let this VM own it."""
        rules = self._residency
        return rules.may_own(rules.of_batch(batch_id, owner))

    async def _take_over(self, batch_id):
        """Take over an orphaned batch when it is this entry's turn."""
        try:
            owner = self._owners.claims_by_id[batch_id].owner
            rank = self._rank(
                batch_id, owner, self._cluster_state.incarnations_by_vm
            )
            await asyncio.sleep(self._grace_s(owner) + RANK_DELAY_S * rank)
            while self._may_be_orphan(batch_id):
                try:
                    if await self._try_take_over(batch_id):
                        return
                except exceptions.AnvilwellError as error:
                    _LOG.log(
                        "batch-not-taken",
                        batch_id=batch_id,
                        cause=error.message,
                    )
                await asyncio.sleep(RANK_DELAY_S)
        finally:
            self._taking_over.discard(batch_id)
            if self._is_stranded(batch_id):
                self._start(self._release(batch_id))

    def _grace_s(self, owner):
        """Return how long to wait for an owner that is not registered.

        It may hold texts in memory that it could not save during an outage
        of the store.
        """
        if owner.vm_id == self._presence.vm_id:
            return 0.0
        is_replaced = owner.vm_id in self._cluster_state.incarnations_by_vm
        return 0.0 if is_replaced else self._presence.takeover_grace_s()

    def _is_orphan(self, batch_id, owner, incarnations_by_vm):
        if (
            batch_id in self._cluster_state.ended
            or batch_id in self._accepting_counts
        ):
            return False
        if owner.vm_id == self._presence.vm_id:
            # This includes batches of this incarnation: a write that was
            # abandoned may take effect late, and no other process would take
            # over a batch of a live owner.
            return batch_id not in self._manager.batches_by_id
        return incarnations_by_vm.get(owner.vm_id) != owner.incarnation

    def _rank(self, batch_id, owner, incarnations_by_vm):
        """Return how many live entries should try before this one."""
        own_vm_id = self._presence.vm_id
        if owner.vm_id == own_vm_id:
            return 0
        others = set(incarnations_by_vm) | {own_vm_id}
        bounds = self._residency.of_batch(batch_id, owner)
        if bounds is None:
            home = self._homes.find(owner.service, owner.model)
        else:
            others &= self._residency.owners(bounds) | {own_vm_id}
            homes = self._homes.ranked(owner.service, owner.model, bounds)
            home = next(iter(homes), None)
        ranked = sorted(
            others,
            key=lambda vm_id: (
                vm_id != home,
                _rendezvous_hash(batch_id, vm_id),
            ),
        )
        return ranked.index(own_vm_id) + (owner.vm_id in others)

    async def _try_take_over(self, batch_id):
        """Take over a batch if its owner is gone.

        Returns whether the takeover is finished. It is not if another
        process took the batch first: while this one is trying, the loss of
        that new owner would start no other takeover here.
        """
        # The order matters: an owner that is read first and missing from the
        # live entries read afterwards is gone.
        claim = await self._store.owner(batch_id)
        incarnations_by_vm = await self._cluster_state.read_incarnations()
        if claim is None:
            return True
        if not self._is_orphan(batch_id, claim.owner, incarnations_by_vm):
            return False
        if not self._may_own(batch_id, claim.owner):
            return False
        with uploads.reserved(self._budget, claim.owner.parts):
            return await self._claim_and_restore(batch_id, claim)

    async def _claim_and_restore(self, batch_id, claim):
        """Become the owner of an orphaned batch and open it.

        Returns
        -------
        bool
            As `_try_take_over` does.
        """
        owner = claim.owner
        new_owner = owner._replace(
            vm_id=self._presence.vm_id, incarnation=self._presence.incarnation
        )
        try:
            claim = await self._store.take_over(batch_id, claim, new_owner)
        except records.OwnedElsewhere:
            return False
        _LOG.log("batch-taken-over", batch_id=batch_id, owner=owner.vm_id)
        opened = asyncio.get_running_loop().create_future()
        self._opening_times[opened] = owner.submitted_at
        try:
            return await self._restore(batch_id, claim)
        finally:
            del self._opening_times[opened]
            opened.set_result(None)

    async def _restore(self, batch_id, claim):
        """Open a batch with the results and texts of its earlier owner.

        Returns
        -------
        bool
            Whether it was opened.
        """
        with self._residency.relays_of_batch(batch_id, claim.owner):
            stored_submission = await self._store.submission(
                batch_id, claim.owner.parts
            )
            results, chunks = await self._store.results(batch_id)
            saved = await self._store.saved(batch_id)
        submission = self._read(stored_submission)
        route = await self._route(submission)
        if route is None:
            _LOG.log("batch-without-route", batch_id=batch_id)
            # Saved texts can be reused only under the rules of their route.
            route, saved = _ended_route(submission), ()
        older = [
            opened
            for opened, submitted_at in self._opening_times.items()
            if submitted_at < claim.owner.submitted_at
        ]
        if older:
            await asyncio.wait(older, timeout=OLDER_BATCH_WAIT_S)
        return self._opener.open(
            route, submission, claim, (results, chunks, saved)
        )

    def _read(self, stored_submission):
        """Return the `facts.Submission` in an `uploads.StoredSubmission`."""
        request = self._dialect.stored_request(stored_submission)
        return organisations.owned(
            self._dialect.read_submission(request), request.organisation
        )

    async def _route(self, submission):
        """Return a batch's route, None if it has been removed.

        A route that is missing here may be new, so the newest configuration
        is loaded before it is considered removed.
        """
        location = submission.host, submission.path
        known = self._manager.routes().find(*location)
        return known or (await self._manager.newest_routes()).find(*location)


def _ended_route(submission):
    """Return a substitute route on which all items are abandoned at once."""
    return facts.Route(
        "", submission.host, submission.path, (), True, max_queue_s=0.0
    )


def _rendezvous_hash(batch_id, vm_id):
    return xxhash.xxh3_64_intdigest(f"{batch_id}/{vm_id}".encode())
