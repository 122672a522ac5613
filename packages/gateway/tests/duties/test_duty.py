"""One holder of a duty at a time, and one report of a window, at random.

The platform checks no number: if two holders act in turns, or a window is
told twice with different counts, nobody stops them. Store and platform
answer late, never, or lose answers; VMs are suspended, killed and drained
at any step.
"""

import asyncio

from anvilwell_decisions.duties import rendezvous
from anvilwell_gateway.duties import duty_election
from anvilwell_gateway.duties import usage_reporter
from anvilwell_kernel import exceptions
from anvilwell_outside.ports import keyvalue
import hypothesis
from hypothesis import strategies as st
import pytest

import duty_simulation

VMS = ["entry-1", "entry-2", "entry-3"]
FAULTS = {
    "silent": "",
    "lost": "",
    "late": "",
}


@pytest.fixture(scope="session")
def simulate(run_virtual):
    """Return what plays a scenario and gives its `duty_simulation.World`."""

    def play(scenario):
        async def run():
            world = duty_simulation.DutySimulation(VMS)
            traffic = asyncio.create_task(world.run_traffic())
            try:
                await scenario(world)
            finally:
                traffic.cancel()
                await world.stop()
            return world

        return run_virtual(run())

    return play


async def _inject(world, vm_id, action, duration_s):
    """Have something happen to a VM for some time."""
    if action in ("kill", "drain"):
        await world.restart(vm_id, action == "drain")
        return
    vm = world.vms_by_id[vm_id]
    loop = asyncio.get_running_loop()
    if action == "suspend":
        vm.suspend()
        loop.call_later(duration_s, vm.resume)
    elif action in FAULTS:
        vm.store.fault = action
        loop.call_later(duration_s, setattr, vm.store, "fault", "")
    else:
        vm.platform.fault = action.removeprefix("platform-")
        loop.call_later(duration_s, setattr, vm.platform, "fault", "")


ACTIONS = (
    "kill",
    "drain",
    "suspend",
    *FAULTS,
    "platform-busy",
    "platform-lost",
)
# "holder" names whoever holds the duty then: faults seek it out.
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["holder", *VMS]),
        st.sampled_from(ACTIONS),
        st.floats(min_value=0.1, max_value=9.0),
        st.floats(min_value=0.0, max_value=4.0),
    ),
    max_size=14,
)


@hypothesis.settings(max_examples=40, deadline=None)
@hypothesis.given(steps=STEPS)
def test_holders_take_no_turns_and_a_window_is_told_once(simulate, steps):
    async def scenario(world):
        await asyncio.sleep(3.0)
        for vm_id, action, duration_s, wait_s in steps:
            holders = [vm.vm_id for vm in world.holders] or VMS
            name = holders[0] if vm_id == "holder" else vm_id
            await _inject(world, name, action, duration_s)
            await asyncio.sleep(wait_s)
        await asyncio.sleep(25.0)

    world = simulate(scenario)
    assert world.breaches() == []
    # Whatever happened, there is a holder again, and it reports.
    now = duty_simulation.EPOCH_S + 3.0 + sum(step[3] for step in steps) + 25.0
    last = max(call.window for call in world.calls)
    assert last >= now // duty_simulation.WINDOW_S - 4


def test_on_a_calm_day_each_window_is_told_once_and_whole(simulate):
    async def scenario(world):
        await asyncio.sleep(33.0)

    world = simulate(scenario)
    counts = {call.window: call.counts for call in world.calls}
    assert len(world.calls) == len(counts) == 6
    # The first one began before the VMs did: they count half seconds.
    assert list(counts.values())[1:] == [{"schools": 30}] * 5


def test_a_successor_sends_what_was_recorded_and_not_taken(simulate):
    """The platform lost the answer; the holder was killed then."""

    async def scenario(world):
        await asyncio.sleep(3.0)
        (holder,) = world.holders
        holder.platform.fault = "lost"
        while not world.calls:
            await asyncio.sleep(0.1)
        await world.restart(holder.vm_id, False)
        await asyncio.sleep(12.0)

    world = simulate(scenario)
    first = world.calls[0]
    again = [call for call in world.calls[1:] if call.window == first.window]
    assert world.breaches() == []
    assert len({call.fencing for call in again}) >= 1
    assert any(call.fencing > first.fencing for call in again)


def test_holders_that_leave_one_after_the_other_take_no_turns(simulate):
    """A release: each holder leaves as soon as it has the duty.

    Each has to send what the one before recorded, at once if it may. The
    first VM is back soon, and has the duty again within three seconds.
    """

    async def scenario(world):
        await asyncio.sleep(13.0)
        for _ in range(8):
            while not world.holders:
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.5)
            holder = world.holders[0].vm_id
            restart = world.restart(holder, True, down_s=0.5)
            restarts.append(asyncio.create_task(restart))
            await asyncio.sleep(0)
        await asyncio.sleep(8.0)

    restarts = []
    world = simulate(scenario)
    assert world.calls
    assert world.breaches() == []


def test_a_holder_that_is_suspended_before_it_sends_is_not_heard_later(
    simulate,
):
    """Its lease ends meanwhile; what it still sends on its return is old."""

    async def scenario(world):
        await asyncio.sleep(3.0)
        (holder,) = world.holders
        for _ in range(3):
            holder.suspend()
            await asyncio.sleep(7.0)
            holder.resume()
            await asyncio.sleep(1.0)

    world = simulate(scenario)
    assert world.breaches() == []


def test_a_holder_that_is_drained_and_kept_running_acts_no_more(simulate):
    """A stopping entry has seconds to go on, but not with the duty."""

    async def scenario(world):
        await asyncio.sleep(13.0)
        (holder,) = world.holders
        tenure = holder.duty.tenure
        await holder.presence.stop()
        with pytest.raises(exceptions.Fenced):
            tenure.check()

    simulate(scenario)


def test_a_new_holder_whose_clock_is_wrong_tells_no_time(simulate):
    """Until it has heard most clocks, its own would be taken for true."""

    async def scenario(world):
        await asyncio.sleep(3.0)
        (holder,) = world.holders
        reporter = holder.reporter
        reporter._true_time.forget(float("inf"))
        process_counts = (
            world.vms_by_id[VMS[0]].process_counts()._replace(vm_id="a")
        )
        answers.append(
            reporter.accept_counts(process_counts._replace(vm_id=holder.vm_id))
        )
        answers.append(reporter.accept_counts(process_counts))

    answers = []
    simulate(scenario)
    assert answers[0] is None
    assert answers[1] == pytest.approx(duty_simulation.EPOCH_S + 3.0, abs=0.1)


def test_a_ledger_that_can_t_be_read_is_not_written_over(simulate):
    """It may be a later release's; what it has settled must not change."""

    async def scenario(world):
        unreadable = keyvalue.Entry(usage_reporter.LEDGER_KEY, b"?", 1)
        world.store.entries_by_key[usage_reporter.LEDGER_KEY] = unreadable
        await asyncio.sleep(20.0)
        entry = world.store.entries_by_key[usage_reporter.LEDGER_KEY]
        assert entry == unreadable
        del world.store.entries_by_key[usage_reporter.LEDGER_KEY]
        await asyncio.sleep(8.0)

    assert simulate(scenario).calls


def test_a_holder_that_drains_leaves_what_it_was_told(simulate):
    """Its successor reports what VMs that are gone had told the first."""

    async def scenario(world):
        await asyncio.sleep(12.0)
        (holder,) = world.holders
        gone = next(vm for vm in VMS if vm != holder.vm_id)
        # Both go within one window, one after the other.
        await world.restart(gone, True)
        await asyncio.sleep(1.0)
        await world.restart(holder.vm_id, True)
        await asyncio.sleep(15.0)

    world = simulate(scenario)
    counts = {call.window: call.counts["schools"] for call in world.calls}
    assert world.breaches() == []
    assert set(list(counts.values())[1:]) == {30}


@pytest.mark.parametrize("has_seen", [True, False])
def test_a_turn_counts_from_when_the_holder_before_was_gone(
    simulate, has_seen
):
    """A report was late: it was due within the successor's turn.

    The store was silent for ten seconds, and the successor had waited its
    rank's second already when it took the duty. Who has not seen the holder
    before can't know since when it is gone.
    """

    async def scenario(world):
        await asyncio.sleep(3.0)
        loop = asyncio.get_running_loop()
        (holder,) = world.holders
        await holder.kill()
        del world.vms_by_id[holder.vm_id]
        first, last = world.vms_by_id.values()
        # The first in turn can't write, so the duty lies vacant for longer.
        ranked = rendezvous.rank_vms("usage", {first.vm_id, last.vm_id})
        if ranked[0] != first.vm_id:
            first, last = last, first
        await first.duty.stop()
        while not last.duty._is_vacant:
            await asyncio.sleep(0.01)
        gone_at = loop.time()
        if not has_seen:
            last.duty._last_fencing = 0
        while not last.duty.tenure:
            await asyncio.sleep(0.01)
        taken_at = loop.time()
        assert taken_at - gone_at > duty_election.RANK_DELAY_S
        since = gone_at if has_seen else taken_at
        may_act_at = last.duty.tenure._may_act_at
        assert may_act_at == pytest.approx(
            since + duty_simulation.TURN_S, abs=0.05
        )

    simulate(scenario)
