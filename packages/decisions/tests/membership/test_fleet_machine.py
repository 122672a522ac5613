"""Tests fleets under crashes, pauses, splits and message faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from anvilwell_kernel.messages import membership as messages

LIVE = messages.State.LIVE
LEAVING = messages.State.LEAVING
DEAD = messages.State.DEAD
DAEMONS = 6
# A single remaining daemon treats itself as isolated, by design.
LEFT_UP = 3
KNOWN_WITHIN_S = 3.0
DEAD_WITHIN_S = 4.0
CALM_S = 6.0
SPLIT_S = 8.0
MEET_S = 15.0
HEALED_WITHIN_S = 60.0
CHECK_INTERVAL_S = 4.0
WHO = st.sampled_from([f"vm{n}" for n in range(DAEMONS)])
# Fewer than elsewhere: an example takes a tenth of a second.
EXAMPLES = max(50, hypothesis.settings.default.max_examples // 4)


class FleetMachine(stateful.RuleBasedStateMachine):
    """Disturbs a fleet, which must have correct views once undisturbed."""

    make_fleet = None

    def __init__(self):
        super().__init__()
        self.fleet = self.make_fleet(DAEMONS)
        self.fleet.run(8.0)
        self.leaving = set()
        self.starts = 1
        self.calm_s = 0.0
        self.known_by_node = {}

    def disturb(self):
        self.calm_s = 0.0

    @stateful.rule(seconds=st.sampled_from([0.3, 1.0, 3.0]))
    def run(self, seconds):
        self.fleet.run(seconds)
        self.calm_s += seconds

    @stateful.rule(
        loss=st.sampled_from([0.0, 0.1, 0.3]),
        repeats=st.sampled_from([0.0, 0.3]),
        delay_s=st.sampled_from([0.01, 0.3, 1.0]),
    )
    def change_network(self, loss, repeats, delay_s):
        self.fleet.loss = loss
        self.fleet.duplication = repeats
        self.fleet.max_delay_s = delay_s

    @stateful.rule(who=WHO)
    def crash(self, who):
        others = set(self.fleet.nodes_by_id) - self.fleet.down - {who}
        if len(others) < LEFT_UP:
            return
        self.fleet.down.add(who)
        self.fleet.paused.discard(who)
        self.disturb()

    @stateful.rule(who=WHO)
    def restart(self, who):
        if who in self.fleet.down:
            self.starts += 1
            domain = f"d{int(who[2:]) % 3}"
            self.fleet.add(who, domain, incarnation=100 * self.starts)
            self.leaving.discard(who)
            self.disturb()

    @stateful.rule(who=WHO, loses=st.booleans())
    def pause(self, who, loses):
        if self.fleet.is_up(who):
            self.fleet.paused.add(who)
            self.fleet.loses_for_paused = loses
            self.disturb()

    @stateful.rule(who=WHO)
    def wake(self, who):
        self.fleet.paused.discard(who)
        self.disturb()

    @stateful.rule(east=st.sets(WHO))
    def split(self, east):
        self.fleet.group_by_id = dict.fromkeys(east, "east")
        self.disturb()

    @stateful.rule()
    def heal(self):
        self.fleet.group_by_id = {}
        self.disturb()

    @stateful.rule(east=st.sets(WHO, min_size=1))
    def split_for_long(self, east):
        """No live member is marked dead when two sides of a split meet."""
        self.settle()
        self.split(east)
        self.fleet.run(SPLIT_S)
        self.heal()
        self.fleet.changes.clear()
        self.fleet.run(MEET_S)
        buried = {
            change.after.vm_id
            for _, _, change in self.fleet.changes
            if change.before and change.before.state is LIVE
            if change.after.state is DEAD
        }
        assert buried <= self.fleet.down

    def settle(self):
        """End all disturbances and wait until all views are right."""
        self.clear_disturbances()
        self.fleet.run(CALM_S)
        self.run_until_right()

    def clear_disturbances(self):
        fleet = self.fleet
        fleet.paused.clear()
        fleet.group_by_id = {}
        fleet.loss = fleet.duplication = 0.0
        fleet.max_delay_s = 0.01

    @stateful.rule(who=WHO, by_list=st.booleans())
    def leave(self, who, by_list):
        """A daemon leaves, whatever disturbances there are."""
        if self.fleet.is_up(who) and who not in self.leaving:
            self.announce(who, by_list)

    @stateful.rule(who=WHO, by_list=st.booleans(), is_lost=st.booleans())
    def leave_in_calm(self, who, by_list, is_lost):
        """All learn of it in time, even if the first messages are lost."""
        if who in self.fleet.down or who in self.leaving:
            return
        self.settle()
        self.fleet.loss = 1.0 if is_lost else 0.0
        self.announce(who, by_list)
        self.fleet.loss = 0.0
        self.fleet.run(KNOWN_WITHIN_S)
        assert LIVE not in self.fleet.states_of(who).values()

    def announce(self, who, by_list):
        fleet = self.fleet
        node = fleet.nodes_by_id[who]
        if by_list:
            fleet.perform(who, node.mark_leaving(fleet.now, [who]))
        else:
            fleet.perform(who, node.leave(fleet.now))
        self.leaving.add(who)

    @stateful.rule(who=WHO)
    def crash_in_calm(self, who):
        """All remaining daemons detect a crash in time."""
        others = set(self.fleet.nodes_by_id) - self.fleet.down - {who}
        if len(others) < LEFT_UP or who in self.fleet.down:
            return
        self.settle()
        self.fleet.down.add(who)
        self.fleet.run(DEAD_WITHIN_S)
        assert set(self.fleet.states_of(who).values()) == {DEAD}

    @stateful.invariant()
    def members_are_remembered(self):
        """Records of dead members last longer than an example."""
        for node in self.fleet.nodes_by_id.values():
            known = self.known_by_node.setdefault(node, set())
            assert known <= set(node.members_by_id)
            known.update(node.members_by_id)

    @stateful.invariant()
    def no_member_marks_itself_dead(self):
        for vm_id, node in self.fleet.nodes_by_id.items():
            assert node.members_by_id[vm_id].state in (LIVE, LEAVING)

    @stateful.invariant()
    def no_record_outruns_its_member(self):
        """Only a member raises its own incarnation."""
        nodes_by_id = self.fleet.nodes_by_id
        for observer in nodes_by_id.values():
            for vm_id, known in observer.members_by_id.items():
                own = nodes_by_id[vm_id].me
                assert known.incarnation <= own.incarnation

    def teardown(self):
        """Without disturbances all views become right and stay right."""
        self.clear_disturbances()
        self.run_until_right()
        self.fleet.run(CHECK_INTERVAL_S)
        self.members_are_remembered()
        self.assert_views_are_right()

    def run_until_right(self):
        end = self.fleet.now + HEALED_WITHIN_S
        while self.fleet.now < end and not self.views_are_right():
            self.fleet.run(CHECK_INTERVAL_S)
        self.assert_views_are_right()

    def views_are_right(self):
        try:
            self.assert_views_are_right()
        except AssertionError:
            return False
        return True

    def assert_views_are_right(self):
        up = set(self.fleet.nodes_by_id) - self.fleet.down
        for view in self.fleet.views().values():
            assert up <= set(view)
            for vm_id, state in view.items():
                assert state is self.truth(vm_id)

    def truth(self, vm_id):
        if vm_id in self.fleet.down:
            return DEAD
        return LEAVING if vm_id in self.leaving else LIVE


@pytest.mark.fuzz
@pytest.mark.timeout(3600)
def test_fleet_agrees_and_is_right_once_all_is_well(make_fleet):
    class Machine(FleetMachine):
        pass

    Machine.make_fleet = staticmethod(make_fleet)
    stateful.run_state_machine_as_test(
        Machine,
        settings=hypothesis.settings(
            max_examples=EXAMPLES,
            stateful_step_count=12,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
