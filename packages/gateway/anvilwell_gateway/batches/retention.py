"""Deletes batches from the store once their retention time is over."""

import asyncio

from anvilwell_decisions.duties import rendezvous
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# How long a batch that its trainer has ended is kept, in seconds. Results must
# stay readable for 120 s after the submission; the rest allows for differing
# clocks and reads in progress.
ENDED_RETENTION_S = 180.0
# How long a batch is kept if all its results are listed but its trainer has
# not ended it, in seconds. The trainer may still read it, or may be gone for
# good.
OPEN_RETENTION_S = 3600.0
CHECK_INTERVAL_S = 20.0
# How long an upload may take before it counts as abandoned, in seconds: more
# than any submission is waited for.
UPLOAD_TIMEOUT_S = 60.0
# The entry with this duty deletes abandoned uploads.
_UPLOADS_DUTY = "delete abandoned uploads"

_LOG = logs.get_logger(__name__)


class Retention:
    """Periodically deletes old batches of this process and orphaned ones.

    Each owner deletes its own finished batches. An ended batch whose owner is
    gone is not taken over by anyone, so one of the live entries deletes it.

    Parameters
    ----------
    batch_store : records.BatchStore
        Deletes batches from the store.
    manager : manager.BatchManager
        The batches of this process.
    owners : owners.Owners
        The owners of all batches.
    cluster_state : cluster_state.ClusterState
        The live entries and the ended batches.
    vm_id : str
        This VM.
    residency : residency.ResidencyRules
        The allowed regions in force.
    """

    def __init__(
        self, batch_store, manager, owners, cluster_state, vm_id, residency
    ):
        self._residency = residency
        self._store = batch_store
        self._manager = manager
        self.owners = owners
        self._cluster_state = cluster_state
        self._vm_id = vm_id
        # Event-loop time at which each orphaned batch was first seen: the wall
        # clocks of VMs differ.
        self._orphaned_at_by_batch = {}
        self._upload_seen_at_by_key = {}
        self._task = None

    def start(self):
        """Start the periodic deletion."""
        self._task = asyncio.create_task(self._run())

    async def stop(self):
        """Stop the periodic deletion."""
        await tasks.stop(self._task)

    async def _run(self):
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            await self.remove_old(now)
            await self.remove_abandoned_uploads(now)

    async def remove_old(self, now):
        """Delete finished and orphaned batches that are old enough."""
        old = [
            batch
            for batch in self._manager.batches_by_id.values()
            if batch.state.needs_no_runs
            and now - batch.opened_at > _retention_s(batch)
        ]
        for batch in old:
            owner = batch.claim.owner
            if not await self._remove(batch.batch_id, owner, batch.chunks):
                return
            self._manager.remove(batch)
            await batch.stop("the batch is deleted")
        await self._remove_orphaned(now)

    async def _remove_orphaned(self, now):
        """Delete batches orphaned for longer than `ENDED_RETENTION_S`."""
        self._orphaned_at_by_batch = {
            batch_id: self._orphaned_at_by_batch.get(batch_id, now)
            for batch_id in self._orphaned()
        }
        old = [
            (batch_id, self.owners.claims_by_id[batch_id].owner)
            for batch_id, orphaned_at in self._orphaned_at_by_batch.items()
            if now - orphaned_at > ENDED_RETENTION_S
            and self._is_deleted_here(batch_id)
        ]
        for batch_id, owner in old:
            if not await self._remove(batch_id, owner):
                return

    async def remove_abandoned_uploads(self, now):
        """Delete uploads that were marked `UPLOAD_TIMEOUT_S` ago or earlier.

        Those that belong to a batch by now only lose their mark.
        """
        vm_ids = self._cluster_state.incarnations_by_vm
        if rendezvous.choose_vm(_UPLOADS_DUTY, vm_ids) != self._vm_id:
            return
        try:
            uploads = await self._store.marked_uploads()
            self._upload_seen_at_by_key = {
                upload.key: self._upload_seen_at_by_key.get(upload.key, now)
                for upload in uploads
            }
            for upload in uploads:
                seen_at = self._upload_seen_at_by_key[upload.key]
                if now - seen_at > UPLOAD_TIMEOUT_S:
                    await self._store.abandon_upload(upload)
                    _LOG.routine("upload-deleted", batch_id=upload.batch_id)
        except exceptions.AnvilwellError as error:
            _LOG.log("uploads-not-deleted", cause=error.message)

    def _is_deleted_here(self, batch_id):
        """Return whether this entry is the one that deletes an orphan."""
        duty = f"delete {batch_id}"
        vm_ids = self._cluster_state.incarnations_by_vm
        owner = self.owners.claims_by_id[batch_id].owner
        bounds = self._residency.of_batch(batch_id, owner)
        if bounds is not None:
            # To delete a batch, its results are read.
            vm_ids = self._residency.owners(bounds)
        return rendezvous.choose_vm(duty, vm_ids) == self._vm_id

    def _orphaned(self):
        """Return the ids of ended batches whose owners are gone."""
        incarnations_by_vm = self._cluster_state.incarnations_by_vm
        return [
            batch_id
            for batch_id, claim in self.owners.claims_by_id.items()
            if batch_id in self._cluster_state.ended
            and batch_id not in self._manager.batches_by_id
            and incarnations_by_vm.get(claim.owner.vm_id)
            != claim.owner.incarnation
        ]

    async def _remove(self, batch_id, owner, chunks=None):
        """Delete a batch from the store; return whether it succeeded."""
        try:
            if chunks is None:
                with self._residency.relays_of_batch(batch_id, owner):
                    _, chunks = await self._store.results(batch_id)
            await self._store.remove(batch_id, owner.parts, chunks)
        except exceptions.AnvilwellError as error:
            _LOG.log(
                "batch-not-deleted", batch_id=batch_id, cause=error.message
            )
            return False
        _LOG.log("batch-deleted", batch_id=batch_id)
        return True


def _retention_s(batch):
    return ENDED_RETENTION_S if batch.state.is_ended else OPEN_RETENTION_S
