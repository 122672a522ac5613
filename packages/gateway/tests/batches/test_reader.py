"""Tests that an entry keeps only what it may hold of others' batches."""

import asyncio
import contextlib
import types

from anvilwell_gateway.batches import reader as readers
from anvilwell_gateway.batches import records
import pytest


class _Rules:
    """Rules that allow or forbid this entry to own any batch."""

    is_active = True

    def __init__(self, may_own):
        self.limited = []
        self._may_own = may_own

    def listen(self, callback):
        self.change = callback

    def of_batch(self, batch_id, owner):
        return batch_id

    def may_own(self, bounds):
        return self._may_own

    @contextlib.contextmanager
    def relays_of_batch(self, batch_id, owner, is_callers_entry):
        assert is_callers_entry
        self.limited.append(batch_id)
        yield


class _Store:
    def __init__(self, rules):
        self._rules = rules
        self.reads = 0

    async def results(self, batch_id, chunk):
        assert self._rules.limited[-1] == batch_id
        self.reads += 1
        return ["result"], 1


@pytest.mark.parametrize("may_own", [True, False])
def test_results_are_cached_only_where_the_batch_may_be(may_own):
    """Guard against texts that are kept in a region that isn't allowed."""

    async def read_twice():
        rules = _Rules(may_own)
        store = _Store(rules)
        owner = records.Owner("vm", "life", 1, "", 0.0, 1)
        owners = types.SimpleNamespace(
            claims_by_id={"b1": records.Claim(owner, 1)}
        )
        reader = readers.Reader(store, None, owners, rules)
        for _ in range(2):
            assert await reader.read("b1", 0) == (1, ["result"])
        assert reader.cached_count("b1") == may_own
        rules.change()
        assert not reader.cached_count("b1")
        return store.reads

    assert asyncio.run(read_twice()) == (1 if may_own else 2)
