"""Confirms that storage VMs which are to be retired hold no data."""

import asyncio

from anvilwell_gateway import prefix_follower
from anvilwell_gateway import store as stores
from anvilwell_gateway import tasks
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs
from anvilwell_outside.ports import keyvalue

# Each entry waits this many seconds longer than the entry before it, so
# that usually only the first one writes.
RANK_DELAY_S = 0.5
WRITE_TIMEOUT_S = 5.0

_LOG = logs.get_logger(__name__)


class RetirementResponder(prefix_follower.PrefixFollower):
    """Answers each request to empty a storage VM.

    The disks of a storage VM hold nothing that is not in the store, so it
    counts as empty at once. Entries write the answers, so that a storage VM
    that is down or cut off gets an answer too.
    """

    def __init__(self, store, codec, cluster_state, vm_id):
        super().__init__(store, codec.retire_prefix)
        self._codec = codec
        self._cluster_state = cluster_state
        self._vm_id = vm_id
        self._tasks = set()

    def load(self, entries_by_key):
        """Answer all requests in the store."""
        for key in entries_by_key:
            self._answer(key)

    def change(self, change):
        """Answer a new request."""
        if change.value is not None:
            self._answer(change.key)

    async def stop(self):
        """Stop to follow requests and cancel answers under way."""
        await super().stop()
        await tasks.stop(*self._tasks)

    def _answer(self, key):
        task = asyncio.create_task(self._write_answer(key))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write_answer(self, key):
        peers = sorted({*self._cluster_state.incarnations_by_vm, self._vm_id})
        await asyncio.sleep(RANK_DELAY_S * peers.index(self._vm_id))
        note_key, value = self._codec.retirement_entry(key)
        try:
            if await self._store.get(note_key) is not None:
                return
            swap = keyvalue.Swap(note_key, 0, value)
            await stores.swap_until_known(self._store, [swap], WRITE_TIMEOUT_S)
        except exceptions.AnvilwellError as error:
            _LOG.log("not-retired", key=key, cause=error.message)
            return
        _LOG.log("retired", key=key)
