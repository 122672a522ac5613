"""Tests membership of small fleets in virtual time."""

import pytest

from anvilwell_decisions.membership import detector
from anvilwell_decisions.membership import news
from anvilwell_kernel.messages import membership as messages

LIVE = messages.State.LIVE
LEAVING = messages.State.LEAVING
DEAD = messages.State.DEAD
KNOWN_WITHIN_S = 3.0


@pytest.fixture(name="formed")
def fixture_formed(make_fleet):
    def form(count, **options):
        fleet = make_fleet(count, **options)
        fleet.run(15.0)
        for view in fleet.views().values():
            assert len(view) == count
            assert set(view.values()) == {LIVE}
        return fleet

    return form


def assert_all_see(fleet, vm_id, state):
    states = fleet.states_of(vm_id)
    states.pop(vm_id, None)
    assert set(states.values()) == {state}


@pytest.mark.parametrize("count", [2, 3, 24, 80])
def test_daemons_that_join_by_a_seed_all_learn_of_each_other(formed, count):
    formed(count)


def test_leaving_daemon_is_known_everywhere_without_waiting_for_heartbeats(
    formed,
):
    fleet = formed(60)
    leaver = fleet.nodes_by_id["vm7"]
    fleet.perform("vm7", leaver.leave(fleet.now))
    fleet.run(1.0)
    assert_all_see(fleet, "vm7", LEAVING)


def test_leaving_is_known_within_3_s_although_messages_are_lost(formed):
    fleet = formed(40)
    fleet.loss = 0.1
    fleet.perform("vm7", fleet.nodes_by_id["vm7"].leave(fleet.now))
    fleet.run(KNOWN_WITHIN_S)
    assert_all_see(fleet, "vm7", LEAVING)


def test_vm_list_word_reaches_the_leaving_daemon_itself(formed):
    fleet = formed(12)
    reader = fleet.nodes_by_id["vm1"]
    fleet.perform("vm1", reader.mark_leaving(fleet.now, ["vm5"]))
    fleet.run(KNOWN_WITHIN_S)
    assert_all_see(fleet, "vm5", LEAVING)
    assert fleet.nodes_by_id["vm5"].me.state is LEAVING


def test_crashed_daemon_is_dead_everywhere_and_nobody_else(formed):
    fleet = formed(30)
    fleet.down.add("vm4")
    fleet.run(4.0)
    assert_all_see(fleet, "vm4", DEAD)
    others = {v for v in fleet.nodes_by_id if v != "vm4"}
    for vm_id in others:
        assert set(fleet.states_of(vm_id).values()) == {LIVE}


def test_whole_failure_domain_lost_at_once_is_found(formed):
    fleet = formed(30)
    lost = {f"vm{n}" for n in range(0, 30, 3)}
    fleet.down |= lost
    fleet.run(20.0)
    for vm_id in lost:
        assert_all_see(fleet, vm_id, DEAD)


def test_restarted_daemon_with_a_higher_incarnation_is_live_again(formed):
    fleet = formed(10)
    fleet.down.add("vm4")
    fleet.run(5.0)
    fleet.add("vm4", "d1", incarnation=2)
    fleet.run(5.0)
    assert set(fleet.states_of("vm4").values()) == {LIVE}


def test_daemon_that_left_and_started_again_is_live(formed):
    fleet = formed(10)
    fleet.perform("vm4", fleet.nodes_by_id["vm4"].leave(fleet.now))
    fleet.run(0.2)
    fleet.add("vm4", "d1", incarnation=3)
    fleet.run(5.0)
    assert set(fleet.states_of("vm4").values()) == {LIVE}
    reader = fleet.nodes_by_id["vm1"]
    fleet.perform("vm1", reader.mark_leaving(fleet.now, ["vm4"]))
    fleet.run(5.0)
    assert set(fleet.states_of("vm4").values()) == {LEAVING}


@pytest.mark.parametrize("loses", [True, False])
def test_paused_daemon_declares_nobody_dead_when_it_resumes(formed, loses):
    fleet = formed(20)
    fleet.max_delay_s = 0.4
    fleet.run(2.0)
    fleet.loses_for_paused = loses
    fleet.paused.add("vm3")
    fleet.run(30.0)
    fleet.paused.discard("vm3")
    woke_at = fleet.now
    fleet.run(10.0)
    assert failures_reported_by(fleet, "vm3", woke_at) == []
    assert set(fleet.states_of("vm3").values()) == {LIVE}


def test_resumed_daemon_declares_nobody_dead_until_it_gets_an_ack(formed):
    fleet = formed(3)
    fleet.paused.add("vm0")
    fleet.run(10.0)
    fleet.paused.discard("vm0")
    fleet.group_by_id["vm0"] = "cut off"
    woke_at = fleet.now
    fleet.run(4.0)
    assert failures_reported_by(fleet, "vm0", woke_at) == []
    fleet.group_by_id.clear()
    fleet.run(20.0)
    assert set(fleet.states_of("vm0").values()) == {LIVE}


def failures_reported_by(fleet, vm_id, since):
    """Return the changes at `vm_id` that mark another member as not live."""
    return [
        change
        for at, who, change in fleet.changes
        if at > since and who == vm_id
        if change.after.vm_id != vm_id and change.after.state > LIVE
    ]


def test_isolated_daemon_declares_nobody_dead(formed):
    fleet = formed(20)
    fleet.group_by_id["vm3"] = "alone"
    fleet.run(30.0)
    alone = fleet.nodes_by_id["vm3"]
    assert alone.is_isolated
    states = {m.state for m in alone.members_by_id.values()}
    assert DEAD not in states
    fleet.group_by_id.clear()
    fleet.run(20.0)
    assert set(fleet.states_of("vm3").values()) == {LIVE}


def test_split_marks_the_other_side_dead_and_heals_without_false_deaths(
    formed,
):
    fleet = formed(30)
    east = {f"vm{n}" for n in range(15)}
    fleet.group_by_id.update(dict.fromkeys(east, "east"))
    fleet.run(25.0)
    for vm_id, view in fleet.views().items():
        own = east if vm_id in east else set(view) - east
        dead = {v for v, state in view.items() if state is DEAD}
        assert dead == set(view) - own
    fleet.group_by_id.clear()
    healed_at = fleet.now
    fleet.run(40.0)
    for view in fleet.views().values():
        assert set(view.values()) == {LIVE}
    buried_own = [
        change
        for at, who, change in fleet.changes
        if at > healed_at and change.after.state is DEAD
        if (who in east) == (change.after.vm_id in east)
    ]
    assert buried_own == []


@pytest.mark.parametrize("cut_off", [["vm0"], ["vm1"], ["vm0", "vm5"]])
def test_isolated_daemons_declare_nobody_dead_once_reconnected(
    make_fleet, cut_off
):
    """Isolated daemons announce neither silences nor old deaths afterwards."""
    fleet = make_fleet(6)
    fleet.run(8.0)
    fleet.group_by_id.update(dict.fromkeys(cut_off, "east"))
    fleet.run(8.0)
    fleet.group_by_id.clear()
    healed_at = fleet.now
    fleet.run(15.0)
    buried = [
        change
        for at, _, change in fleet.changes
        if at > healed_at and change.before and change.before.state is LIVE
        if change.after.state is DEAD
    ]
    assert buried == []


def test_rate_of_news_stays_bounded_during_a_split_and_its_healing(formed):
    fleet = formed(40)
    east = {f"vm{n}" for n in range(20)}
    begin = fleet.now
    fleet.group_by_id.update(dict.fromkeys(east, "east"))
    fleet.run(20.0)
    fleet.group_by_id.clear()
    fleet.run(20.0)
    carried = dict.fromkeys(fleet.nodes_by_id, 0)
    for at, sender, send in fleet.sent:
        if at > begin and isinstance(send.message, messages.Heartbeat):
            carried[sender] += len(send.message.members)
    refutations = 12 * 40
    allowed = news.BURST + news.RATE_PER_S * 40 + refutations
    assert max(carried.values()) <= allowed


def test_cost_per_daemon_does_not_grow_with_the_fleet(formed):
    rates = []
    for count in (15, 60):
        fleet = formed(count)
        begin = len(fleet.sent)
        fleet.run(10.0)
        rates.append((len(fleet.sent) - begin) / count / 10.0)
    small, large = rates
    assert large <= small * 1.3


def test_member_that_only_others_reach_stays_live(formed):
    fleet = formed(12)
    watcher = fleet.nodes_by_id["vm0"]
    target = watcher.neighbours[0]
    fleet.reaches = lambda a, b: {a, b} != {"vm0", target}
    fleet.run(10.0)
    assert DEAD not in fleet.states_of(target).values()


def test_old_ack_does_not_hide_later_silence():
    subject = detector.Subject(0.0)
    subject.sent(1, 0.0)
    subject.sent(2, 0.5)
    assert subject.acked(1)
    assert subject.silence_s(5.5) == 5.0
    assert not subject.acked(1)


def test_joining_daemon_does_not_send_the_fleet_to_its_neighbours(formed):
    fleet = formed(40)
    begin = len(fleet.sent)
    fleet.add("late", "d1")
    fleet.run(10.0)
    announced = [
        member.vm_id
        for _, sender, send in fleet.sent[begin:]
        if sender == "late" and isinstance(send.message, messages.Heartbeat)
        for member in send.message.members
    ]
    # Its own record and that of the daemon that it joined through.
    assert len(set(announced)) <= 2
    assert set(fleet.states_of("late").values()) == {LIVE}
    assert len(fleet.states_of("late")) == 41
