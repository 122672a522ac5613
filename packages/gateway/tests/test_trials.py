"""Tests which entry may try a request that crashed replicas."""

import asyncio
import types

import cbor2
import pytest

from anvilwell_decisions.duties import rendezvous
from anvilwell_decisions.requests import quarantine as quarantines
from anvilwell_decisions.requests import trials as decisions
from anvilwell_gateway.http import client
from anvilwell_gateway.http import messages
from anvilwell_gateway import trials

ADDRESSES_BY_VM = {f"entry-{number}": f"a:{number}" for number in range(4)}
PAUSE_S = quarantines.SHORT_PAUSE_S
DECIDER = rendezvous.choose_vm("try f", list(ADDRESSES_BY_VM))
OTHERS = sorted(set(ADDRESSES_BY_VM) - {DECIDER})


class _Pool:
    """Delivers calls to the `Trials` of other entries, or fails them."""

    def __init__(self, trials_by_vm):
        self._trials_by_vm = trials_by_vm
        self.is_cut = False
        # The entries that each entry has in its list.
        self.cluster_states_by_vm = {
            vm_id: types.SimpleNamespace(addresses_by_vm=dict(ADDRESSES_BY_VM))
            for vm_id in ADDRESSES_BY_VM
        }

    async def call(self, key, address, request, timeout_s, max_bytes):
        await asyncio.sleep(0.001)
        if self.is_cut:
            raise client.call_error("no response")
        trial_request = trials.read(request.body)
        wait_s = self._trials_by_vm[key].decide(trial_request)
        return messages.Reply(200, ()), cbor2.dumps(wait_s)

    def close(self):
        pass


@pytest.fixture
def run_scenario(run_virtual, monkeypatch):
    """Return a function that runs a scenario in virtual time.

    All entries have recorded two crashes, and the pause after them is over.
    """

    def run(scenario):
        async def body():
            trials_by_vm = {}
            pool = _Pool(trials_by_vm)
            monkeypatch.setattr(
                trials.connection_pool, "Pool", lambda *_: pool
            )
            quarantine_by_vm = {
                vm_id: quarantines.Quarantine() for vm_id in ADDRESSES_BY_VM
            }
            for vm_id, quarantine in quarantine_by_vm.items():
                quarantine.add_crashes("f", ["r1", "r2"], 0.0)
                cluster_state = pool.cluster_states_by_vm[vm_id]
                trials_by_vm[vm_id] = trials.Trials(
                    vm_id, cluster_state, quarantine
                )
            await asyncio.sleep(PAUSE_S)
            await scenario(trials_by_vm, quarantine_by_vm, pool)
            for one in trials_by_vm.values():
                await one.stop()

        run_virtual(body())

    return run


@pytest.mark.parametrize("first", [DECIDER, OTHERS[0]])
def test_one_entry_tries_and_the_others_wait_until_it_is_done(
    run_scenario, first
):
    async def scenario(trials_by_vm, quarantine_by_vm, pool):
        async with trials_by_vm[first].trial("f") as wait_s:
            assert wait_s == 0
            for vm_id in ADDRESSES_BY_VM:
                async with trials_by_vm[vm_id].trial("f") as wait_s:
                    assert wait_s == decisions.RETRY_WAIT_S
        await asyncio.sleep(0.01)
        async with trials_by_vm[OTHERS[1]].trial("f") as wait_s:
            assert wait_s == 0

    run_scenario(scenario)


def test_a_trial_is_still_recorded_when_one_decider_is_replaced(run_scenario):
    """Guards against two trials at once after a decider has left.

    Its successor has no record of the trial and would grant another.
    """

    async def scenario(trials_by_vm, quarantine_by_vm, pool):
        async with trials_by_vm[OTHERS[0]].trial("f") as wait_s:
            assert wait_s == 0
            for cluster_state in pool.cluster_states_by_vm.values():
                del cluster_state.addresses_by_vm[DECIDER]
            for vm_id in OTHERS[1:]:
                async with trials_by_vm[vm_id].trial("f") as wait_s:
                    assert wait_s == decisions.RETRY_WAIT_S
        await asyncio.sleep(0.01)
        async with trials_by_vm[OTHERS[1]].trial("f") as wait_s:
            assert wait_s == 0

    run_scenario(scenario)


@pytest.mark.parametrize("unknown", ADDRESSES_BY_VM)
@pytest.mark.parametrize("first", OTHERS)
def test_entries_with_different_lists_do_not_try_at_the_same_time(
    run_scenario, unknown, first
):
    """Guards against two trials at once while a new entry becomes known.

    An entry without the newest one in its list asks other deciders.
    """

    async def scenario(trials_by_vm, quarantine_by_vm, pool):
        del pool.cluster_states_by_vm[OTHERS[1]].addresses_by_vm[unknown]
        triers = {OTHERS[1], first}
        waits = await asyncio.gather(
            *(_wait_s(trials_by_vm[vm_id], 0.1) for vm_id in sorted(triers))
        )
        assert waits.count(0) == 1

    run_scenario(scenario)


async def _wait_s(one, took_s):
    """Request a trial and run it for `took_s` if granted; return the wait."""
    async with one.trial("f") as wait_s:
        if not wait_s:
            await asyncio.sleep(took_s)
        return wait_s


def test_a_crash_in_a_trial_is_recorded_before_the_next_trial(run_scenario):
    async def scenario(trials_by_vm, quarantine_by_vm, pool):
        async with trials_by_vm[OTHERS[0]].trial("f"):
            now = asyncio.get_running_loop().time()
            quarantine_by_vm[OTHERS[0]].add_crashes("f", ["r3"], now)
        await asyncio.sleep(0.01)
        async with trials_by_vm[OTHERS[1]].trial("f") as wait_s:
            assert wait_s > PAUSE_S

    run_scenario(scenario)


def test_an_entry_that_reaches_no_decider_does_not_try(run_scenario):
    async def scenario(trials_by_vm, quarantine_by_vm, pool):
        pool.is_cut = True
        async with trials_by_vm[OTHERS[0]].trial("f") as wait_s:
            assert wait_s == decisions.RETRY_WAIT_S
        pool.is_cut = False
        async with trials_by_vm[OTHERS[1]].trial("f") as wait_s:
            assert wait_s == 0

    run_scenario(scenario)
