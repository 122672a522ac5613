"""Deletes batches that nobody may ask for any more."""

import asyncio

from anvilwell_decisions.duties import choice
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

# Results stay readable for 120 s after the submission; the rest is for
# clocks that differ and reads under way.
KEEP_S = 180.0
# The same for a batch of which all is listed and that nobody has ended: it
# stays readable until then, unless its trainer is gone for good.
KEEP_OPEN_S = 3600.0
LOOK_S = 20.0

_LOG = logs.get_logger(__name__)


class Retention:
    """Has each owner delete its settled batches after their time.

    What an owner that is gone leaves of an ended batch is nobody's: nobody
    takes such a batch over. One entry that lives deletes it.

    Parameters
    ----------
    batch_store : records.BatchStore
        Where batches lie.
    holder : holder.Holder
        The batches of this process.
    owners : owners.Owners
        Who owns which batch.
    news : news.News
        Which owners live, and which batches have ended.
    vm_id : str
        This VM.
    """

    def __init__(self, batch_store, holder, owners, news, vm_id):
        self._store = batch_store
        self._holder = holder
        self.owners = owners
        self._news = news
        self._vm_id = vm_id
        # When each was seen first. Clocks of the day differ between VMs.
        self._left_at_by_batch = {}
        self._task = None

    def start(self):
        """Begin to look."""
        self._task = asyncio.create_task(self._run())

    async def stop(self):
        """Look no more."""
        await tasks.stop(self._task)

    async def _run(self):
        while True:
            await asyncio.sleep(LOOK_S)
            await self.remove_old(asyncio.get_running_loop().time())

    async def remove_old(self, now):
        """Delete what was settled and opened long enough before `now`."""
        old = [
            held
            for held in self._holder.held_by_id.values()
            if held.book.needs_no_runs and now - held.opened_at > _keep_s(held)
        ]
        for held in old:
            owner = held.claimed.owner
            if not await self._remove(held.batch_id, owner, held.chunks):
                return
            self._holder.forget(held)
            await held.stop("the batch is deleted")
        await self._remove_left(now)

    async def _remove_left(self, now):
        """Delete what owners that are gone left `KEEP_S` before `now`."""
        self._left_at_by_batch = {
            batch_id: self._left_at_by_batch.get(batch_id, now)
            for batch_id in self._left()
        }
        old = [
            (batch_id, self.owners.claimed_by_id[batch_id].owner)
            for batch_id, left_at in self._left_at_by_batch.items()
            if now - left_at > KEEP_S and self._is_ours(batch_id)
        ]
        for batch_id, owner in old:
            if not await self._remove(batch_id, owner):
                return

    def _is_ours(self, batch_id):
        """Return whether this entry deletes what is left of a batch."""
        duty = f"delete {batch_id}"
        return choice.chosen(duty, self._news.lives_by_vm) == self._vm_id

    def _left(self):
        """Return the ended batches whose owners are gone."""
        lives_by_vm = self._news.lives_by_vm
        return [
            batch_id
            for batch_id, claimed in self.owners.claimed_by_id.items()
            if batch_id in self._news.ended
            and batch_id not in self._holder.held_by_id
            and lives_by_vm.get(claimed.owner.vm_id) != claimed.owner.life
        ]

    async def _remove(self, batch_id, owner, chunks=None):
        """Delete a batch; return whether that was possible."""
        try:
            if chunks is None:
                _, chunks = await self._store.results(batch_id)
            await self._store.remove(batch_id, owner.parts, chunks)
        except exceptions.AnvilwellError as error:
            _LOG.log(
                "batch-not-deleted", batch_id=batch_id, cause=error.message
            )
            return False
        _LOG.log("batch-deleted", batch_id=batch_id)
        return True


def _keep_s(held):
    return KEEP_S if held.book.is_ended else KEEP_OPEN_S
