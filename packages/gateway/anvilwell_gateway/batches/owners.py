"""Follows the owners of all batches in the store."""

import asyncio

from anvilwell_gateway.batches import records
from anvilwell_gateway import prefix_follower
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs

_LOG = logs.get_logger(__name__)


class Owners(prefix_follower.PrefixFollower):
    """A local copy of the owners of all batches.

    The copy may lag by a second or two. It is good enough to choose the
    entry to ask first and to suspect that an owner is gone. Before a batch
    is taken over, its owner is read from the store.

    Parameters
    ----------
    store : store.AsyncStore
        The key-value service.
    """

    def __init__(self, store):
        super().__init__(store, records.OWNER_PREFIX)
        self._listeners = []
        self.claims_by_id = {}
        self.loaded_at = float("-inf")

    def listen(self, callback):
        """Call ``callback(batch_ids)`` when owners of batches are received."""
        self._listeners.append(callback)

    def is_superseded(self, batch_id, claim):
        """Return whether a claim newer than `claim` has been received."""
        known = self.claims_by_id.get(batch_id)
        return known is not None and known.revision > claim.revision

    def load(self, entries_by_key):
        """Replace the local copy by all owners in the store."""
        self.loaded_at = asyncio.get_running_loop().time()
        self.claims_by_id = {}
        for key, entry in entries_by_key.items():
            self._store_claim(key, entry.value, entry.revision)
        self._notify(set(self.claims_by_id))

    def change(self, change):
        """Apply a change of one batch's owner."""
        batch_id = change.key.removeprefix(records.OWNER_PREFIX)
        self.claims_by_id.pop(batch_id, None)
        if change.value is not None:
            self._store_claim(change.key, change.value, change.revision)
            self._notify({batch_id})

    def _store_claim(self, key, value, revision):
        batch_id = key.removeprefix(records.OWNER_PREFIX)
        try:
            claim = records.read_claim(value, revision)
        except records.UnreadableOwner as error:
            counters.count_unreadable("owner")
            _LOG.log("owner-unreadable", key=key, cause=error.message)
            return
        self.claims_by_id[batch_id] = claim

    def _notify(self, batch_ids):
        for callback in self._listeners:
            callback(batch_ids)
