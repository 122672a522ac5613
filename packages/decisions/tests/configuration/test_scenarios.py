"""Tests single failures of the agreement protocol, step by step."""

import configuration_network as networks
import configuration_node as nodes
import configuration_world as worlds
import pytest

from anvilwell_decisions.configuration import flows
from anvilwell_decisions.configuration import outcomes
from anvilwell_decisions.configuration import proposal
from anvilwell_decisions.configuration import registry
from anvilwell_kernel.messages import configuration as messages


def make_world(text="first"):
    world = worlds.World()
    world.settle(0.5)
    propose(world, "a1", text)
    world.settle(0.5)
    world.check_settled()
    return world


def propose(world, vm_id, text, expected_generation=None):
    node = world.nodes_by_id[vm_id]
    node.propose(
        outcomes.Request(
            text, nodes.SERVICE, text, "operator", expected_generation
        )
    )
    return node.proposal


def deliver_until(world, is_reached):
    for _ in range(200):
        if is_reached():
            return
        world.step(0, networks.Fate.DELIVER)
    raise AssertionError("the condition was not reached after 200 steps")


def swap_in_transit(world):
    """Return whether the accepting write is in transit."""
    return any(
        isinstance(item, networks.Call)
        and isinstance(item.action, proposal.CompareAndSwap)
        for item in world.wire
    )


def served_by_id(world):
    return {
        vm_id: world.generation_served(node)
        for vm_id, node in world.nodes_by_id.items()
    }


def test_lost_response_is_resolved_by_reading_after_another_change():
    world = make_world()
    lost = propose(world, "a1", "second")
    deliver_until(world, lambda: swap_in_transit(world))
    world.step_call(networks.Fate.LOSE_ANSWER)
    world.nodes_by_id["a1"].is_paused = True
    for _ in range(20):
        world.advance(worlds.STEP_S)
        for _ in range(20):
            world.step(0, networks.Fate.DELIVER)
    world.nodes_by_id["a1"].is_paused = False
    world.settle()
    propose(world, "b1", "third")
    world.settle()
    assert lost.phase is proposal.Phase.DONE
    assert world.in_force_generation == 3
    assert not world.refused_attempts
    world.check_settled()


def test_same_change_id_is_answered_from_the_history():
    world = make_world()
    propose(world, "b1", "first")
    world.settle(0.5)
    assert world.in_force_generation == 1
    assert world.store.record().generation == 1


def test_unexpected_generation_is_refused():
    world = make_world()
    propose(world, "b1", "second", expected_generation=7)
    world.settle(0.5)
    assert world.refused_texts == {"second"}


def test_unreachable_member_causes_refusal():
    world = make_world()
    world.cut = frozenset(("b2",))
    propose(world, "a1", "second")
    for _ in range(12):
        for _ in range(20):
            world.step(0, networks.Fate.DELIVER)
        world.advance(worlds.STEP_S)
    assert world.refused_texts == {"second"}
    world.settle()
    world.check_settled()
    assert set(served_by_id(world).values()) == {1}


def test_proposer_crashes_before_the_write():
    world = make_world()
    propose(world, "a1", "second")
    deliver_until(world, lambda: swap_in_transit(world))
    world.nodes_by_id["a1"].is_alive = False
    world.wire.clear()
    world.settle()
    world.check()
    assert served_by_id(world) == {"a1": None, "b1": 1, "a2": 1, "b2": 1}
    assert world.store.record().sequence == 2


def test_late_write_fails_after_a_tombstone():
    world = make_world()
    propose(world, "a1", "second")
    deliver_until(world, lambda: swap_in_transit(world))
    world.step_call(networks.Fate.LATE)
    late = [one for one in world.wire if isinstance(one, networks.Call)]
    assert len(late) == 1
    world.wire.remove(late[0])
    world.nodes_by_id["a1"].is_alive = False
    world.settle()
    assert world.store.record().generation == 1
    world.wire.extend(late)
    world.settle()
    assert world.store.record().generation == 1
    world.check_settled()


def test_store_outage_between_phases_stops_new_work_until_it_ends():
    world = make_world()
    propose(world, "a1", "second")
    deliver_until(world, lambda: swap_in_transit(world))
    world.step_call(networks.Fate.LATE)
    world.store.is_up = False
    world.advance(1.875)
    world.flush()
    assert set(served_by_id(world).values()) == {1}
    world.advance(worlds.STEP_S)
    assert set(served_by_id(world).values()) == {None}
    world.settle()
    world.check_settled()
    assert None not in served_by_id(world).values()


def test_change_includes_a_member_that_joined_after_the_lists_were_read():
    world = make_world()
    world.nodes_by_id["b2"].is_alive = False
    propose(world, "a1", "second")
    proposer = world.nodes_by_id["a1"]
    deliver_until(world, lambda: len(proposer.proposal._waiting_by_key) == 1)
    world.find_gone(proposer)
    swap = world.wire.pop()
    assert isinstance(swap.action, proposal.CompareAndSwap)
    world.nodes_by_id["b2"].start()
    world.flush()
    world.wire.append(swap)
    deliver_until(world, lambda: 2 in world.accepted_at_by_generation)
    world.cut = frozenset(("b2",))
    world.advance(nodes.BOUNDS.fence_s)
    world.check()


@pytest.mark.parametrize("vm_id", ["b1", "b2"])
def test_guard_of_a_list_detects_a_member_that_joined_after_preparing(vm_id):
    world = make_world()
    propose(world, "a1", "second")
    deliver_until(world, lambda: swap_in_transit(world))
    swap = world.wire.pop()
    assert [one.key for one in swap.action.writes] == [
        registry.record_key(nodes.SERVICE)
    ]
    world.nodes_by_id[vm_id].start()
    world.flush()
    world.wire.append(swap)
    deliver_until(world, lambda: 2 in world.accepted_at_by_generation)
    world.cut = frozenset((vm_id,))
    world.advance(nodes.BOUNDS.fence_s)
    world.check()


def test_start_during_an_outage_is_sponsored_for_a_limited_time():
    world = make_world()
    world.store.is_up = False
    starting = world.nodes_by_id["b2"]
    starting.start()
    world.flush()
    assert world.generation_served(starting) is None
    world.advance(worlds.STEP_S)
    world.flush()
    assert world.generation_served(starting) == 1
    world.cut = frozenset(("b2",))
    world.advance(nodes.BOUNDS.sponsor_s)
    assert world.generation_served(starting) is None


def make_sponsored(world):
    """Restart b2 so that it reaches the other nodes but not the store."""
    starting = world.nodes_by_id["b2"]
    world.without_store = frozenset(("b2",))
    starting.start()
    world.advance(worlds.STEP_S)
    world.flush()
    assert world.generation_served(starting) == 1
    assert not starting.member.membership.is_listed
    return starting


def run_isolated(world, vm_id, seconds):
    """Run the other nodes while `vm_id` is isolated."""
    for _ in range(round(seconds / 0.25)):
        world.wire = [
            one for one in world.wire if not networks.involves(one, vm_id)
        ]
        world.flush()
        world.advance(0.25)
        world.check()


def test_sponsored_instance_stops_when_a_change_is_accepted_without_it():
    world = make_world()
    starting = make_sponsored(world)
    propose(world, "a1", "second")
    deliver_until(world, lambda: swap_in_transit(world))
    run_isolated(world, "b2", 2.5)
    assert world.in_force_generation == 2
    assert world.generation_served(starting) is None


def test_sponsor_without_the_outcome_does_not_extend_serving():
    world = make_world()
    starting = make_sponsored(world)
    propose(world, "a1", "second")
    deliver_until(world, lambda: 2 in world.accepted_at_by_generation)
    world.nodes_by_id["a1"].is_alive = False
    world.store.is_up = False
    world.wire.clear()
    for _ in range(12):
        world.advance(0.25)
        world.flush()
        world.check()
    assert world.generation_served(starting) is None
    world.settle()
    world.check_settled()


def test_instance_with_a_pending_change_grants_no_sponsorship():
    world = make_world()
    sponsor = world.nodes_by_id["a1"].member
    propose(world, "a1", "second")
    deliver_until(world, sponsor.pending)
    answer = sponsor.handle(
        messages.SponsorRequest([nodes.SERVICE]), world.now
    )
    assert not answer.granted


def test_join_writes_the_list_before_it_reads_the_records():
    world = make_world()
    node = world.nodes_by_id["b2"]
    flow = flows.join(messages.Instance("b2", "b2#9"), node.role)
    actions = [next(flow)]
    while not isinstance(actions[-1], flows.ReadRecords):
        actions.append(flow.send(world.store.apply(actions[-1])))
    kinds = [type(action) for action in actions]
    assert kinds == [flows.ReadKey, proposal.CompareAndSwap, flows.ReadRecords]


def test_one_older_daemon_that_cannot_read_the_text_causes_refusal():
    world = make_world()
    propose(world, "a1", nodes.UNREADABLE)
    world.settle()
    assert world.refused_texts == {nodes.UNREADABLE}
    assert set(served_by_id(world).values()) == {1}


def test_older_data_in_the_store_is_never_applied():
    world = make_world()
    backup = dict(world.store.slots_by_key)
    propose(world, "a1", "second")
    world.settle()
    world.store.slots_by_key = backup
    node = world.nodes_by_id["a1"]
    node.run(_read(), node._joined)
    world.settle(0.5)
    assert set(served_by_id(world).values()) == {2}
    propose(world, "b1", "third")
    world.settle()
    assert set(served_by_id(world).values()) == {3}
    assert world.store.record().generation == 3


def _read():
    return (yield flows.ReadRecords(""))


def test_members_and_sponsored_stop_in_time_after_acceptance():
    """Restart a node while the store is down and lose all commit messages.

    The state machine of test_agreement found this case.
    """
    world = make_world()
    world.store.is_up = False
    starting = world.nodes_by_id["b1"]
    starting.start()
    world.flush()
    world.advance(worlds.STEP_S)
    world.flush()
    assert world.generation_served(starting) == 1
    world.store.is_up = True
    propose(world, "a1", "second")
    deliver_until(world, lambda: 2 in world.accepted_at_by_generation)
    world.wire.clear()
    world.advance(nodes.BOUNDS.fence_s)
    world.check()
    assert set(served_by_id(world).values()) <= {None, 2}
