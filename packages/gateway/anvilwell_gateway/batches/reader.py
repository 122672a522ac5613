"""Reads batches that another process owns, from the store."""

import collections
import typing

# Batches whose listed results are kept here, the latest read first.
MAX_CACHED = 4


class CachedBatch(typing.NamedTuple):
    """What is known of a batch; none of it ever changes."""

    total: int
    results: list
    chunks: int
    parts: int


class Reader:
    """Serves what is committed; positions are immutable, so they keep.

    Parameters
    ----------
    batch_store : records.BatchStore
        Where batches lie.
    dialect : dialect.Dialect
        Reads submissions.
    owners : owners.Owners
        What is known of the batches without a call.
    """

    def __init__(self, batch_store, dialect, owners):
        self._store = batch_store
        self._owners = owners
        self._dialect = dialect
        self._cached_by_id = collections.OrderedDict()
        self._items_by_batch = collections.OrderedDict()

    async def read(self, batch_id, after, listed=None):
        """Return total and results from position `after` on, or None.

        The store is asked only if fewer than ``listed`` are known here;
        None if nobody has said how many there are.

        Raises
        ------
        exceptions.KeyValueUnavailable
            If the store can't be asked.
        """
        cached = self._cached_by_id.get(batch_id)
        if cached is None:
            claim = await self._find_claim(batch_id)
            if claim is None:
                return None
            cached = CachedBatch(claim.owner.total, [], 0, claim.owner.parts)
        # Also for an earlier position: a trainer goes on with what is new.
        if len(cached.results) < (cached.total if listed is None else listed):
            more, chunks = await self._store.results(batch_id, cached.chunks)
            cached = cached._replace(
                results=cached.results + more, chunks=chunks
            )
        self._cache(self._cached_by_id, batch_id, cached)
        return cached.total, cached.results[after:]

    def cached_count(self, batch_id):
        """Return how many results of a batch have been read here."""
        cached = self._cached_by_id.get(batch_id)
        return len(cached.results) if cached else 0

    async def body(self, batch_id, item_id):
        """Return the body of an item, or None if there is none."""
        items = self._items_by_batch.get(batch_id)
        if items is None:
            claim = await self._find_claim(batch_id)
            if claim is None:
                return None
            stored_submission = await self._store.submission(
                batch_id, claim.owner.parts
            )
            submission = self._dialect.read_submission(
                self._dialect.stored_request(stored_submission)
            )
            items = {item.item_id: item.body for item in submission.items}
        self._cache(self._items_by_batch, batch_id, items)
        return items.get(item_id)

    async def exists(self, batch_id):
        """Return whether the batch was ever accepted."""
        if batch_id in self._cached_by_id:
            return True
        return await self._find_claim(batch_id) is not None

    async def _find_claim(self, batch_id):
        """Return the `records.Claimed` of a batch, None if there is none.

        What was written with a batch never changes, so an old owner will
        do. That there is none, only the store can say.
        """
        known = self._owners.claims_by_id.get(batch_id)
        return known or await self._store.owner(batch_id)

    @staticmethod
    def _cache(cached_by_id, batch_id, value):
        cached_by_id[batch_id] = value
        cached_by_id.move_to_end(batch_id)
        while len(cached_by_id) > MAX_CACHED:
            cached_by_id.popitem(last=False)
