"""Reads batches that other entries own from the store, and caches them."""

import collections
import contextlib
import typing

from anvilwell_gateway.batches import uploads

# Number of batches that are cached; the least recently read one is evicted
# first.
MAX_CACHED = 4


class CachedBatch(typing.NamedTuple):
    """The part of a batch that was read so far; it never changes.

    ``results`` come from the first ``chunks`` chunks.
    """

    total: int
    results: list
    chunks: int
    parts: int


class Reader:
    """Reads committed results and submissions of batches.

    A committed result never changes, so it can be cached.

    Parameters
    ----------
    batch_store : records.BatchStore
        Reads batches from the store.
    dialect : dialect.Dialect
        Decodes submissions.
    owners : owners.Owners
        The local copy of the owners of batches.
    residency : residency.ResidencyRules
        The allowed regions in force.
    budget : byte_budget.ByteBudget
        Limits the memory of the submissions that are read.
    """

    def __init__(self, batch_store, dialect, owners, residency, budget):
        self._budget = budget
        self._residency = residency
        residency.listen(self._clear)
        self._store = batch_store
        self._owners = owners
        self._dialect = dialect
        self._cached_by_id = collections.OrderedDict()
        self._items_by_batch = collections.OrderedDict()

    async def read(self, batch_id, after, listed=None):
        """Return the total and the results from position `after` on.

        Returns None if there is no such batch. ``listed`` is the number of
        results that the owner has reported, None if it is unknown; the
        store is read only if fewer are cached.

        Raises
        ------
        exceptions.KeyValueUnavailable
            If the store cannot be read.
        """
        cached = self._cached_by_id.get(batch_id)
        owner = None
        if cached is None or self._residency.is_active:
            claim = await self._find_claim(batch_id)
            if claim is None:
                return None
            owner = claim.owner
        if cached is None:
            cached = CachedBatch(owner.total, [], 0, owner.parts)
        # This reads ahead if `after` is cached already: the trainer asks for
        # the new results next.
        if len(cached.results) < (cached.total if listed is None else listed):
            with self._limited_relays(batch_id, owner):
                more, chunks = await self._store.results(
                    batch_id, cached.chunks
                )
            cached = cached._replace(
                results=cached.results + more, chunks=chunks
            )
        if self._may_cache(batch_id, owner):
            self._cache(self._cached_by_id, batch_id, cached)
        return cached.total, cached.results[after:]

    def cached_count(self, batch_id):
        """Return how many results of a batch are cached."""
        cached = self._cached_by_id.get(batch_id)
        return len(cached.results) if cached else 0

    async def body(self, batch_id, item_id):
        """Return the body of an item, or None if there is none.

        Raises
        ------
        exceptions.Refused
            If there is no memory to read the submission.
        """
        items = self._items_by_batch.get(batch_id)
        if items is None:
            claim = await self._find_claim(batch_id)
            if claim is None:
                return None
            owner = claim.owner
            with uploads.reserved(self._budget, owner.parts):
                items = await self._read_items(batch_id, owner)
            # A large submission would take too much memory for too long.
            if owner.parts > 1 or not self._may_cache(batch_id, owner):
                return items.get(item_id)
        self._cache(self._items_by_batch, batch_id, items)
        return items.get(item_id)

    async def _read_items(self, batch_id, owner):
        """Return the body of each item of a batch, by item id."""
        with self._limited_relays(batch_id, owner):
            stored_submission = await self._store.submission(
                batch_id, owner.parts
            )
        submission = self._dialect.read_submission(
            self._dialect.stored_request(stored_submission)
        )
        return {item.item_id: item.body for item in submission.items}

    async def exists(self, batch_id):
        """Return whether the batch was ever accepted."""
        if batch_id in self._cached_by_id:
            return True
        return await self._find_claim(batch_id) is not None

    async def _find_claim(self, batch_id):
        """Return a `records.Claim` of a batch, None if there is none.

        An outdated claim is good enough: the total and the parts of a batch
        never change. Only the store can confirm that a batch does not exist.
        """
        known = self._owners.claims_by_id.get(batch_id)
        return known or await self._store.owner(batch_id)

    def _limited_relays(self, batch_id, owner):
        """Limit the peers that relay what is read for a caller here."""
        if not self._residency.is_active:
            return contextlib.nullcontext()
        return self._residency.relays_of_batch(
            batch_id, owner, is_callers_entry=True
        )

    def _may_cache(self, batch_id, owner):
        """Return whether the lists of a batch let this VM cache it."""
        rules = self._residency
        return not rules.is_active or rules.may_own(
            rules.of_batch(batch_id, owner)
        )

    def _clear(self):
        """Drop the cached batches, which may no longer be allowed here."""
        self._cached_by_id.clear()
        self._items_by_batch.clear()

    @staticmethod
    def _cache(cached_by_id, batch_id, value):
        cached_by_id[batch_id] = value
        cached_by_id.move_to_end(batch_id)
        while len(cached_by_id) > MAX_CACHED:
            cached_by_id.popitem(last=False)
