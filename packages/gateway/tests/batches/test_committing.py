"""Tests which complete groups share one write of results."""

import asyncio
import types

from anvilwell_decisions.batches import batch_state as batch_states
from anvilwell_decisions.traffic import facts
from anvilwell_gateway.batches import committing

GROUPS = 4
WANTED = 3


class _Store:
    """Records the time and the number of results of each written chunk."""

    def __init__(self):
        self.chunks = []

    async def append(self, batch_id, claim, chunk, results):
        now = asyncio.get_running_loop().time()
        self.chunks.append((round(now, 3), len(results)))


def _commit(run_virtual, complete_at):
    """Return the chunks written for groups that complete at these times.

    Each group has one item.
    """
    items = tuple(
        facts.Item(f"i{n}", "/", (), b"", f"g{n}") for n in range(GROUPS)
    )
    state = batch_states.BatchState(
        facts.Submission("b", "h", "/", items, wanted_groups=WANTED), 1
    )
    store = _Store()

    async def scenario():
        batch = types.SimpleNamespace(
            batch_id="b",
            claim=None,
            state=state,
            chunks=0,
            has_new_results=asyncio.Event(),
            begin_write=lambda: None,
            mark_listed=state.mark_listed,
        )
        committer = committing.Committer(store, batch, None)
        task = asyncio.create_task(committer.run())
        began_at = 0.0
        for number, at in enumerate(complete_at):
            await asyncio.sleep(at - began_at)
            began_at = at
            state.mark_running(f"i{number}")
            state.mark_text_complete(f"i{number}")
            batch.has_new_results.set()
        await asyncio.sleep(2 * committing.GROUPING_DELAY_S)
        task.cancel()

    run_virtual(scenario())
    return store.chunks


def test_groups_that_complete_in_quick_succession_share_a_write(run_virtual):
    chunks = _commit(run_virtual, [1.0, 1.1])

    assert chunks == [(1.0 + committing.GROUPING_DELAY_S, 2)]


def test_the_last_group_that_the_trainer_needs_ends_the_wait(run_virtual):
    """Guards against listing a group alone 50 ms before the last one.

    The trainer would read that group and, polling every half a second, get
    the one that completes its step half a second later.
    """
    chunks = _commit(run_virtual, [1.0, 2.0, 2.05])

    assert chunks == [(1.0 + committing.GROUPING_DELAY_S, 1), (2.05, 2)]


def test_groups_after_the_last_needed_one_are_listed_at_once(run_virtual):
    chunks = _commit(run_virtual, [1.0, 1.0, 1.0, 3.0])

    assert chunks == [(1.0, 3), (3.0, 1)]
