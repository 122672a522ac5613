"""Tests that a duty has one holder and that each window has one report.

The platform does not check fencing numbers. So it can't stop two holders
that act alternately, or a second report of a window with other counts.
Random scenarios delay or lose calls to the store and the platform, and
suspend, kill and drain VMs at any step.
"""

import asyncio

from anvilwell_decisions.duties import rendezvous
from anvilwell_gateway.duties import duty_election
from anvilwell_gateway.duties import window_reporter
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
    """Return a function that runs a scenario and returns its simulation."""

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
    """Restart a VM, or inject a fault into it for some seconds."""
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
# "holder" stands for the VM that holds the duty at that step, so that
# faults often hit the holder.
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
    # After all faults there is a holder again, and it reports.
    now = duty_simulation.EPOCH_S + 3.0 + sum(step[3] for step in steps) + 25.0
    last = max(call.window for call in world.calls)
    assert last >= now // duty_simulation.WINDOW_S - 4


def test_on_a_calm_day_each_window_is_told_once_and_whole(simulate):
    async def scenario(world):
        await asyncio.sleep(33.0)

    world = simulate(scenario)
    counts = {call.window: call.counts for call in world.calls}
    assert len(world.calls) == len(counts) == 6
    # The first window began before the VMs started. In the others, three VMs
    # count one request each half second.
    assert list(counts.values())[1:] == [{"schools": 30}] * 5


def test_a_successor_sends_what_was_recorded_and_not_taken(simulate):
    """The platform's response is lost, and then the holder is killed."""

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
    """Rolls out a release: each holder drains soon after it got the duty.

    Each holder has to send the reports that the previous one recorded, as
    soon as it may act. The first VM restarts soon, and holds the duty again
    within three seconds.
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
    """The holder's lease ends meanwhile, so its pending report is fenced."""

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
    """A stopping entry runs for some more seconds, but without the duty."""

    async def scenario(world):
        await asyncio.sleep(13.0)
        (holder,) = world.holders
        tenure = holder.duty.tenure
        await holder.presence.stop()
        with pytest.raises(exceptions.Fenced):
            tenure.check()

    simulate(scenario)


def test_a_new_holder_whose_clock_is_wrong_tells_no_time(simulate):
    """Before it received most clocks, its own clock would set true time."""

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
    """A later release may have written it; its reports must not change."""

    async def scenario(world):
        unreadable = keyvalue.Entry(window_reporter.LEDGER_KEY, b"?", 1)
        world.store.entries_by_key[window_reporter.LEDGER_KEY] = unreadable
        await asyncio.sleep(20.0)
        entry = world.store.entries_by_key[window_reporter.LEDGER_KEY]
        assert entry == unreadable
        del world.store.entries_by_key[window_reporter.LEDGER_KEY]
        await asyncio.sleep(8.0)

    assert simulate(scenario).calls


def test_a_holder_that_drains_leaves_what_it_was_told(simulate):
    """Its successor reports the counts of VMs that had stopped before."""

    async def scenario(world):
        await asyncio.sleep(12.0)
        (holder,) = world.holders
        gone = next(vm for vm in VMS if vm != holder.vm_id)
        # Both VMs drain within one window, one after the other.
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
    """Guards against a gap that starts only when the successor is elected.

    After the store did not respond for ten seconds, a report was late: it
    was due during the successor's gap, although that VM had already waited
    for a second because of its rank. A successor that has not seen the
    previous holder can't know when it stopped, and waits the full gap.
    """

    async def scenario(world):
        await asyncio.sleep(3.0)
        loop = asyncio.get_running_loop()
        (holder,) = world.holders
        await holder.kill()
        del world.vms_by_id[holder.vm_id]
        first, last = world.vms_by_id.values()
        # The first candidate is stopped, so the duty stays vacant for longer.
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
