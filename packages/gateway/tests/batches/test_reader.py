"""Tests that an entry keeps only what it may hold of others' batches."""

import asyncio
import contextlib
import types
from unittest import mock

from anvilwell_gateway.batches import reader as readers
from anvilwell_gateway.batches import records
import pytest


@pytest.mark.parametrize("may_own", [True, False])
def test_results_are_cached_only_where_the_batch_may_be(may_own):
    """Guard against texts that are kept in a region that isn't allowed."""
    owner = records.Owner("vm", "life", 1, "", 0.0, 1)
    owners = types.SimpleNamespace(
        claims_by_id={"b1": records.Claim(owner, 1)}
    )
    rules = mock.Mock(is_active=True, may_own=lambda bounds: may_own)
    rules.relays_of_batch.return_value = contextlib.nullcontext()
    store = mock.Mock(results=mock.AsyncMock(return_value=(["result"], 1)))
    reader = readers.Reader(store, None, owners, rules, None)

    for _ in range(2):
        assert asyncio.run(reader.read("b1", 0)) == (1, ["result"])
    assert store.results.await_count == (1 if may_own else 2)
    rules.relays_of_batch.assert_called_with(
        "b1", owner, is_callers_entry=True
    )
    (on_change,) = rules.listen.call_args.args
    on_change()
    assert not reader.cached_count("b1")
