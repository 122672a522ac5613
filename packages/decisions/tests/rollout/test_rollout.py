"""Tests the leader and its agents on an unreliable network and engines."""

import math
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from anvilwell_decisions.rollout import grants
from anvilwell_decisions.rollout import reconciler
from anvilwell_decisions.rollout import swap
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import orders as messages

ACTIVATE = messages.Kind.ACTIVATE
DONE = swap.CallOutcome.DONE
FAILED = swap.CallOutcome.FAILED
UNKNOWN = swap.CallOutcome.UNKNOWN
REPLICAS = 5
FLOOR = 0.6
RARELY = st.sampled_from([False, False, False, True])
DELIVERIES = st.lists(
    st.sampled_from(["now", "now", "late", "twice", "lost"]),
    min_size=REPLICAS,
    max_size=REPLICAS,
)
MAX_SWAPPING = REPLICAS - math.ceil(REPLICAS * FLOOR)


class Agent:
    """An agent's `swap.Swap` with a simulated engine.

    ``running`` is the order that the engine executes. ``late`` is an order
    whose response was lost and that may still take effect, until
    ``late_until`` at the latest.
    """

    def __init__(self, vm_id):
        self.vm_id = vm_id
        self.engine_version = "1"
        self.running = None
        self.late = None
        self.late_until = 0.0
        self.starts = 0
        self.start(-swap.CONFIRM_TIMEOUT_S, 0)

    def start(self, now, highest):
        """Restart the agent while the engine continues its order."""
        self.starts += 1
        self.swap = swap.Swap(self.vm_id, random.Random(0), now)
        self.swap.gate.raise_to(highest)
        self.swap.read(self.engine_version, now)
        if self.running:
            self.lose_response(self.running, now)
            self.running = None

    def take(self, order, now):
        for action in self.swap.order(order, now):
            self.running = action.order

    def finish(self, outcome, now):
        order, self.running = self.running, None
        if outcome is DONE and order.kind is ACTIVATE:
            self.engine_version = order.version
        if outcome is UNKNOWN and order.kind is ACTIVATE:
            self.lose_response(order, now)
        self.swap.read(self.engine_version, now)
        self.swap.executed(outcome, now)

    def lose_response(self, order, now):
        self.late = order
        self.late_until = now + swap.ACTIVATE_TIMEOUT_S

    def finish_late(self, has_effect, now):
        order, self.late = self.late, None
        if has_effect and order.kind is ACTIVATE:
            self.engine_version = order.version
        self.swap.read(self.engine_version, now)

    @property
    def is_swapping(self):
        started = [o for o in (self.running, self.late) if o]
        return any(order.kind is ACTIVATE for order in started)

    def report(self, now):
        return self.swap.report(now, self.starts * 1_000_000)


class RolloutMachine(stateful.RuleBasedStateMachine):
    """Runs a rollout under faults and checks the floor after each step.

    Orders and reports are lost, repeated and reordered, leaders are replaced,
    agents restart and engines fail.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.fencing = 1
        self.agents_by_id = {f"vm{n}": Agent(f"vm{n}") for n in range(5)}
        self.leaders = []
        self.desired = reconciler.Desired("2", 1, FLOOR)
        self.orders = []
        self.reports = []
        self.take_over()
        for agent in self.agents_by_id.values():
            for version in ("3", "2", "1"):
                agent.swap.read(version, 0.0)

    @stateful.rule()
    def take_over(self):
        leader = reconciler.Reconciler("lm", self.fencing)
        leader.desire(self.desired)
        self.leaders = [*self.leaders[-1:], leader]
        self.fencing += 1
        self.reorder(self.fencing)

    @stateful.rule(first=st.integers(0, REPLICAS - 1))
    def reorder(self, first):
        """Change the order in which the newest leader picks replicas."""
        ids = [f"vm{(n + first) % REPLICAS}" for n in range(REPLICAS)]
        self.leaders[-1].set_members({v: f"d{v[-1]}" for v in ids})

    @stateful.rule(version=st.sampled_from(["1", "2", "3"]))
    def change_document(self, version):
        generation = self.desired.generation + 1
        self.desired = reconciler.Desired(version, generation, FLOOR)
        self.leaders[-1].desire(self.desired)

    @stateful.rule(seconds=st.sampled_from([0.3, 1.0, 4.0]))
    def pass_time(self, seconds):
        for agent in self.agents_by_id.values():
            if agent.late:
                agent.finish_late(seconds > 0.5, self.now)
        self.advance(seconds)

    @stateful.rule(seconds=st.sampled_from([1.0, 4.0, 9.0]))
    def delay_engines(self, seconds):
        """Let time pass during which engines finish only overdue orders."""
        self.advance(seconds)

    def advance(self, seconds):
        """Advance the time and finish the late orders that are overdue."""
        self.now += seconds
        for agent in self.agents_by_id.values():
            if agent.late and self.now >= agent.late_until:
                agent.finish_late(True, self.now)

    @stateful.rule(is_old=RARELY, deliveries=DELIVERIES)
    def tick(self, is_old, deliveries):
        """Tick a leader and deliver its orders now, late, twice or never."""
        leader = self.leaders[0 if is_old else -1]
        sent = leader.tick(self.now).items()
        for (vm_id, order), delivery in zip(sent, deliveries, strict=False):
            if delivery != "lost":
                self.orders.append((vm_id, order))
            if delivery in ("now", "twice"):
                self.deliver_order(vm_id, order)
                if delivery == "now":
                    self.orders.remove((vm_id, order))

    @stateful.rule(deliveries=DELIVERIES, first=st.integers(0, REPLICAS - 1))
    def work(self, deliveries, first):
        """Run two ticks and have all agents report in between."""
        self.reorder(first)
        self.advance(0.6)
        self.tick(False, ["now"] * REPLICAS)
        self.report_all()
        self.advance(0.6)
        self.tick(False, deliveries)

    @stateful.rule(first=st.integers(0, REPLICAS - 1))
    def replace_leader(self, first):
        """Replace the leader while its orders are in transit."""
        self.take_over()
        self.work(["now"] * REPLICAS, first)

    @stateful.rule(data=st.data())
    def deliver_late_order(self, data):
        if self.orders:
            index = data.draw(st.integers(0, len(self.orders) - 1))
            self.deliver_order(*self.orders.pop(index))

    @stateful.rule()
    def report_all(self):
        """Have every agent report and deliver the reports immediately."""
        for agent in self.agents_by_id.values():
            self.reports.append(agent.report(self.now))
            for leader in self.leaders:
                leader.report(self.reports[-1])

    def deliver_order(self, vm_id, order):
        agent = self.agents_by_id[vm_id]
        try:
            agent.take(order, self.now)
        except exceptions.Fenced:
            return
        self.reports.append(agent.report(self.now))

    @stateful.rule(data=st.data())
    def deliver_old_report(self, data):
        if self.reports:
            index = data.draw(st.integers(0, len(self.reports) - 1))
            for leader in self.leaders:
                leader.report(self.reports[index])

    @stateful.rule(who=st.integers(0, 4))
    def lose_response(self, who):
        self.leaders[-1].mark_unreachable(f"vm{who}")

    @stateful.rule(
        who=st.integers(0, 4),
        outcome=st.sampled_from([DONE, DONE, FAILED, UNKNOWN]),
    )
    def finish_order(self, who, outcome):
        agent = self.agents_by_id[f"vm{who}"]
        if agent.running:
            agent.finish(outcome, self.now)

    @stateful.rule(who=st.integers(0, 4))
    def restart_agent(self, who):
        agent = self.agents_by_id[f"vm{who}"]
        agent.start(self.now, self.fencing - 1)

    @stateful.invariant()
    def floor_is_kept(self):
        swapping = sum(a.is_swapping for a in self.agents_by_id.values())
        assert swapping <= MAX_SWAPPING

    @stateful.invariant()
    def no_version_is_misreported(self):
        for agent in self.agents_by_id.values():
            report = agent.report(self.now)
            assert report.version in ("", agent.engine_version)

    def teardown(self):
        """Stop all faults and check that the rollout completes."""
        self.orders.clear()
        self.take_over()
        for _ in range(400):
            self.now += 0.5
            for agent in self.agents_by_id.values():
                if agent.late:
                    agent.finish_late(False, self.now)
                if agent.running:
                    agent.finish(DONE, self.now)
                agent.swap.read(agent.engine_version, self.now)
            self.tick(False, ["now"] * REPLICAS)
            self.report_all()
            self.floor_is_kept()
            if self.leaders[-1].is_settled:
                break
        progress = self.leaders[-1].progress()
        assert progress.at_version + progress.failed >= REPLICAS


TestRollout = RolloutMachine.TestCase
TestRollout.settings = hypothesis.settings(
    max_examples=6 * hypothesis.settings.default.max_examples,
    stateful_step_count=25,
)
TestRollout.pytestmark = [pytest.mark.fuzz, pytest.mark.timeout(3600)]


def test_restarted_agent_is_not_in_service_while_its_engine_may_swap():
    """Guard against a swap that outlasts the wait of a restarted agent."""
    machine = RolloutMachine()
    deliveries = ["now"] * REPLICAS
    machine.replace_leader(first=0)
    machine.restart_agent(who=0)
    machine.work(deliveries, first=0)
    for _ in range(5):
        machine.replace_leader(first=0)
    for _ in range(3):
        machine.work(deliveries, first=0)
        machine.floor_is_kept()
    assert machine.agents_by_id["vm0"].late


def test_load_order_does_not_hide_a_delayed_activation():
    """Guard against a swap by an order that a lost load order replaced."""
    leader, agents = make_leader(5, FLOOR)
    for vm_id, agent in agents.items():
        for version in ("2", "1") if vm_id == "vm0" else ("3", "2", "1"):
            agent.swap.read(version, 0.0)
    run_rollout(leader, agents, 0.1)
    delayed = leader.tick(1.0)["vm0"]
    leader.desire(reconciler.Desired("3", 2, FLOOR))
    for now in (5.0, 5.5, 6.0):
        for vm_id, order in leader.tick(now).items():
            if vm_id != "vm0":
                agents[vm_id].take(order, now)
        for agent in agents.values():
            leader.report(agent.report(now))
    agents["vm0"].take(delayed, 6.0)
    assert agents["vm0"].is_swapping
    assert sum(a.is_swapping for a in agents.values()) <= MAX_SWAPPING


def make_leader(count, floor, **options):
    agents = {f"vm{n}": Agent(f"vm{n}") for n in range(count)}
    leader = reconciler.Reconciler("lm", 1, **options)
    leader.set_members(dict.fromkeys(agents, "d"))
    leader.desire(reconciler.Desired("2", 1, floor))
    return leader, agents


def run_rollout(leader, agents, seconds, outcomes_by_id=None):
    now, starts = 0.0, []
    while now < seconds:
        for vm_id, agent in agents.items():
            if agent.running:
                agent.finish((outcomes_by_id or {}).get(vm_id, DONE), now)
        for vm_id, order in leader.tick(now).items():
            agents[vm_id].take(order, now)
            if order.kind is not messages.Kind.STATUS:
                starts.append((now, vm_id, order.kind))
        for agent in agents.values():
            leader.report(agent.report(now))
        now += 0.25
    return starts


def test_failing_engine_is_abandoned_and_reports_its_old_version():
    leader, agents = make_leader(3, 0.3)
    run_rollout(leader, agents, 30.0, {"vm1": FAILED})
    assert leader.progress().failed == 1
    assert leader.progress().at_version == 2
    assert agents["vm1"].report(30.0).version == "1"
    assert leader.is_settled


def test_version_that_loads_but_never_activates_is_abandoned():
    agent = Agent("vm0")
    for number in range(1, 20, 2):
        now = number * 20.0
        agent.take(_order(messages.Kind.LOAD, "2", number), now)
        if agent.running:
            agent.finish(DONE, now)
        agent.take(_order(ACTIVATE, "2", number + 1), now)
        if agent.running:
            agent.finish(FAILED, now)
    assert agent.report(500.0).failed == [messages.Failed("2", 1)]


def test_abandoned_version_is_retried_under_a_new_generation():
    leader, agents = make_leader(3, 0.3)
    run_rollout(leader, agents, 30.0, {"vm1": FAILED})
    leader.desire(reconciler.Desired("2", 2, 0.3))
    run_rollout(leader, agents, 30.0)
    assert leader.progress().at_version == 3


def test_rollback_follows_the_document():
    leader, agents = make_leader(4, 0.5)
    run_rollout(leader, agents, 20.0)
    leader.desire(reconciler.Desired("1", 2, 0.5))
    run_rollout(leader, agents, 20.0)
    assert {a.engine_version for a in agents.values()} == {"1"}


def test_floor_that_permits_no_swap_is_kept_and_reported():
    leader, agents = make_leader(1, 0.5)
    run_rollout(leader, agents, 10.0)
    assert leader.progress().is_blocked
    assert agents["vm0"].engine_version == "1"


def test_unreachable_replicas_count_as_out_of_service():
    leader, agents = make_leader(4, 0.5)
    down = {"vm0", "vm1"}
    reachable = {v: a for v, a in agents.items() if v not in down}
    for vm_id, order in leader.tick(0.0).items():
        if vm_id in reachable:
            reachable[vm_id].take(order, 0.0)
    for agent in reachable.values():
        leader.report(agent.report(0.0))
    for now in (1.0, 2.0, 3.0):
        for order in leader.tick(now).values():
            assert order.kind is not ACTIVATE


def test_loads_are_limited_to_the_rate_and_split_evenly():
    share = grants.LoadGrants(loads_per_s=4.0)
    taken = {"a": 0, "b": 0}
    for step in range(101):
        share.fill(taken, step / 10)
        for domain in taken:
            while share.take(domain):
                taken[domain] += 1
    assert taken["a"] == taken["b"]
    assert 40 <= sum(taken.values()) <= 44


def test_loads_slow_down_after_failures_and_recover():
    share = grants.LoadGrants(loads_per_s=8.0)
    for _ in range(3):
        share.slow_down()
    assert _granted(share, 0.0, 2.0) <= 4
    assert _granted(share, 100.0, 2.0) >= 14


def test_version_is_loaded_ahead_and_then_only_activated():
    leader, agents = make_leader(4, 0.5)
    run_rollout(leader, agents, 20.0)
    leader.load_ahead("3")
    ahead = run_rollout(leader, agents, 20.0)
    assert {kind for _, _, kind in ahead} == {messages.Kind.LOAD}
    assert len(ahead) == 4
    leader.desire(reconciler.Desired("3", 2, 0.5))
    starts = run_rollout(leader, agents, 20.0)
    assert {kind for _, _, kind in starts} == {ACTIVATE}


def test_status_is_rarely_requested_once_settled():
    leader, agents = make_leader(4, 0.5)
    run_rollout(leader, agents, 20.0)
    asked = sum(len(leader.tick(20.0 + second)) for second in range(60))
    assert asked <= 2 * len(agents)


@pytest.mark.parametrize("kind", [messages.Kind.LOAD, ACTIVATE])
def test_agent_runs_one_order_at_a_time(kind):
    agent = Agent("vm0")
    agent.take(_order(messages.Kind.LOAD, "2", 1), 0.0)
    agent.take(_order(kind, "3", 2), 0.0)
    assert agent.running.version == "2"


def test_duplicated_and_overtaken_orders_are_not_run():
    agent = Agent("vm0")
    agent.take(_order(messages.Kind.LOAD, "2", 5), 0.0)
    agent.finish(DONE, 1.0)
    agent.take(_order(ACTIVATE, "2", 5), 1.0)
    agent.take(_order(ACTIVATE, "2", 4), 1.0)
    assert agent.running is None


def test_activation_with_lost_response_is_confirmed_by_reading():
    agent = Agent("vm0")
    agent.take(_order(messages.Kind.LOAD, "2", 1), 0.0)
    agent.finish(DONE, 0.0)
    agent.take(_order(ACTIVATE, "2", 2), 0.0)
    agent.finish(UNKNOWN, 1.0)
    assert agent.report(1.0).activity is messages.Activity.ACTIVATING
    agent.finish_late(True, 2.0)
    report = agent.report(2.0)
    assert report.version == "2"
    assert report.activity is messages.Activity.IDLE
    assert report.failed == []


def test_old_report_does_not_return_a_swapping_replica_to_service():
    leader, agents = make_leader(1, 0.0)
    agent = agents["vm0"]
    run_rollout(leader, agents, 5.0)
    leader.desire(reconciler.Desired("3", 2, 0.0))
    before = agent.report(1.0)
    leader.report(before)
    agent.take(_order(messages.Kind.LOAD, "3", 50), 5.0)
    agent.finish(DONE, 5.0)
    agent.take(_order(ACTIVATE, "3", 51), 5.0)
    leader.report(agent.report(1.0))
    assert leader.progress().in_service == 0
    leader.report(before)
    assert leader.progress().in_service == 0


def test_report_under_another_leader_does_not_count_as_in_service():
    leader, agents = make_leader(1, 0.0)
    agent = agents["vm0"]
    agent.take(_order(messages.Kind.STATUS, "", 0, fencing=0), 0.0)
    leader.report(agent.report(0.0))
    assert leader.progress().in_service == 0
    agent.take(_order(messages.Kind.STATUS, "", 0, fencing=1), 0.0)
    leader.report(agent.report(0.0))
    assert leader.progress().in_service == 1


def test_order_of_an_earlier_leader_is_rejected():
    agent = Agent("vm0")
    agent.take(_order(messages.Kind.STATUS, "", 0, fencing=2), 0.0)
    with pytest.raises(exceptions.Fenced):
        agent.take(_order(messages.Kind.LOAD, "2", 9, fencing=1), 0.0)
    assert agent.running is None


def _order(kind, version, number, fencing=1):
    return messages.Order("lm", kind, version, 1, fencing, number)


def _granted(share, begin, seconds):
    share.fill(["d"], begin)
    count = 0
    for step in range(int(seconds * 10)):
        share.fill(["d"], begin + step / 10)
        while share.take("d"):
            count += 1
    return count
