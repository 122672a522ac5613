"""Tests, in virtual time, which VM may give orders to an engine."""

import asyncio
import itertools

from anvilwell_gateway import engine_claims
from anvilwell_outside.ports import keyvalue
import hypothesis
from hypothesis import strategies as st

LEASE_S = 3.0
VMS = ["agent", "entry-1", "entry-2"]


class _Store:
    """Fake store: holds one entry and responds after `lag_s` seconds."""

    def __init__(self, lag_s=0.004):
        self.lag_s = lag_s
        self.entry = None
        self.revision = 7

    async def get(self, key):
        found = self.entry
        await asyncio.sleep(self.lag_s)
        return found

    async def swap(self, swaps):
        (swap,) = swaps
        known = self.entry.revision if self.entry else 0
        landed = known == swap.expected
        if landed:
            self.revision += 1
            self.entry = keyvalue.Entry(swap.key, swap.value, self.revision)
        await asyncio.sleep(self.lag_s)
        return keyvalue.SwapResult(landed, self.revision, {})


async def _order(holder, vm_id, orders):
    fencing = await holder.obtain_fencing("10.0.0.9:80")
    if fencing is not None:
        now = asyncio.get_running_loop().time()
        orders.append((now, vm_id, fencing))


TRIES = st.lists(
    st.tuples(
        st.sampled_from(VMS),
        st.floats(min_value=0.0, max_value=2.0),
        st.booleans(),
    ),
    max_size=40,
)


@hypothesis.given(tries=TRIES, lag_s=st.sampled_from([0.004, 0.3, 0.7]))
def test_holders_take_no_turns_and_numbers_rise(run_virtual, tries, lag_s):
    async def scenario():
        store = _Store(lag_s)
        orders = []
        holders = {
            vm_id: engine_claims.EngineClaims(store, vm_id) for vm_id in VMS
        }
        tasks = []
        for vm_id, wait_s, starts_again in tries:
            if starts_again:
                holders[vm_id] = engine_claims.EngineClaims(store, vm_id)
            order = _order(holders[vm_id], vm_id, orders)
            tasks.append(asyncio.create_task(order))
            await asyncio.sleep(wait_s)
        await asyncio.gather(*tasks)
        return orders

    orders = run_virtual(scenario())

    for one, another in itertools.pairwise(orders):
        (at, vm_id, fencing), (then, other, later) = one, another
        if vm_id == other:
            assert fencing <= later
        else:
            assert then - at >= LEASE_S
            assert fencing < later


def test_an_engine_that_nobody_had_is_ordered_for_at_once(run_virtual):
    async def scenario():
        return await engine_claims.EngineClaims(
            _Store(), "agent"
        ).obtain_fencing("10.0.0.9:80")

    assert run_virtual(scenario()) == 8


def test_a_claim_that_can_not_be_read_is_taken(run_virtual):
    async def scenario():
        store = _Store()
        store.entry = keyvalue.Entry("k", b"\xff", 5)
        holder = engine_claims.EngineClaims(store, "agent")
        first = await holder.obtain_fencing("10.0.0.9:80")
        await asyncio.sleep(engine_claims.CLAIM_WAIT_S)
        return first, await holder.obtain_fencing("10.0.0.9:80")

    assert run_virtual(scenario()) == (None, 8)
