"""Tests which batches an entry gives up to others."""

import asyncio
import types
from unittest import mock

from anvilwell_gateway.batches import records
from anvilwell_gateway.batches import takeovers
from anvilwell_kernel import exceptions


def test_a_batch_that_may_not_be_opened_is_released_after_an_outage(
    monkeypatch,
):
    """Guard against a batch that stays with a live owner that can't run it."""
    monkeypatch.setattr(takeovers, "RANK_DELAY_S", 0.0)
    owner = records.Owner("vm", "life", 1, "", 0.0, 1)
    owners = mock.Mock(claims_by_id={"b1": records.Claim(owner, 1)})
    outage = exceptions.KeyValueUnavailable("the store is down")
    store = mock.Mock(
        release=mock.AsyncMock(side_effect=[outage, outage, None])
    )
    rules = mock.Mock(is_active=True, may_own=lambda bounds: False)

    async def scenario():
        under_test = takeovers.Takeovers(
            store,
            None,
            mock.Mock(batches_by_id={}, holds=lambda batch_id: False),
            types.SimpleNamespace(vm_id="vm", incarnation="life"),
            mock.Mock(ended=set()),
            owners,
            None,
            None,
            rules,
            None,
        )
        under_test.start()
        # A second check doesn't start a second release.
        under_test.check_all_owners()
        while under_test._tasks:
            await asyncio.gather(*under_test._tasks)

    asyncio.run(scenario())
    assert store.release.await_count == 3
