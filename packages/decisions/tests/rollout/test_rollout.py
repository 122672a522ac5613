"""Leader and agents over a network and engines that fail."""

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
SELDOM = st.sampled_from([False, False, False, True])
FATES = st.lists(
    st.sampled_from(["now", "now", "late", "twice", "lost"]),
    min_size=REPLICAS,
    max_size=REPLICAS,
)
MAY_SWAP = REPLICAS - math.ceil(REPLICAS * FLOOR)


class Agent:
    """A swap decision and the engine that it works on."""

    def __init__(self, vm_id):
        self.vm_id = vm_id
        self.engine_version = "1"
        self.running = None
        self.late = None
        self.starts = 0
        self.start(-swap.CONFIRM_TIMEOUT_S, 0)

    def start(self, now, highest):
        """Start the agent; its engine goes on with what it was at."""
        self.starts += 1
        self.swap = swap.Swap(self.vm_id, random.Random(0), now)
        self.swap.gate.raise_to(highest)
        self.swap.read(self.engine_version, now)
        if self.running:
            self.late = self.running
            self.running = None

    def take(self, order, now):
        for action in self.swap.order(order, now):
            self.running = action.order

    def finish(self, outcome, now):
        order, self.running = self.running, None
        if outcome is DONE and order.kind is ACTIVATE:
            self.engine_version = order.version
        if outcome is UNKNOWN and order.kind is ACTIVATE:
            self.late = order
        self.swap.read(self.engine_version, now)
        self.swap.executed(outcome, now)

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
    """Loss, duplication, reordering, take-overs, restarts, failures."""

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
        """Let the newest leader prefer other replicas from now on."""
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
        self.now += seconds

    @stateful.rule(is_old=SELDOM, fates=FATES)
    def tick(self, is_old, fates):
        """Let a leader order; its orders arrive now, late or never."""
        leader = self.leaders[0 if is_old else -1]
        sent = leader.tick(self.now).items()
        for (vm_id, order), fate in zip(sent, fates, strict=False):
            if fate != "lost":
                self.orders.append((vm_id, order))
            if fate in ("now", "twice"):
                self.pass_on(vm_id, order)
                if fate == "now":
                    self.orders.remove((vm_id, order))

    @stateful.rule(fates=FATES, first=st.integers(0, REPLICAS - 1))
    def work(self, fates, first):
        """Let time pass, ask all how they are, and order."""
        self.reorder(first)
        self.now += 0.6
        self.tick(False, ["now"] * REPLICAS)
        self.ask_all()
        self.now += 0.6
        self.tick(False, fates)

    @stateful.rule(first=st.integers(0, REPLICAS - 1))
    def replace_leader(self, first):
        """A new leader takes over while orders are on the way."""
        self.take_over()
        self.work(["now"] * REPLICAS, first)

    @stateful.rule(data=st.data())
    def deliver_late_order(self, data):
        if self.orders:
            index = data.draw(st.integers(0, len(self.orders) - 1))
            self.pass_on(*self.orders.pop(index))

    @stateful.rule()
    def ask_all(self):
        """Let every agent report, and deliver it at once."""
        for agent in self.agents_by_id.values():
            self.reports.append(agent.report(self.now))
            for leader in self.leaders:
                leader.report(self.reports[-1])

    def pass_on(self, vm_id, order):
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
    def miss(self, who):
        self.leaders[-1].mark_unreachable(f"vm{who}")

    @stateful.rule(
        who=st.integers(0, 4),
        outcome=st.sampled_from([DONE, DONE, FAILED, UNKNOWN]),
    )
    def engine_ends(self, who, outcome):
        agent = self.agents_by_id[f"vm{who}"]
        if agent.running:
            agent.finish(outcome, self.now)

    @stateful.rule(who=st.integers(0, 4))
    def agent_restarts(self, who):
        agent = self.agents_by_id[f"vm{who}"]
        agent.start(self.now, self.fencing - 1)

    @stateful.invariant()
    def floor_is_kept(self):
        swapping = sum(a.is_swapping for a in self.agents_by_id.values())
        assert swapping <= MAY_SWAP

    @stateful.invariant()
    def no_version_is_misreported(self):
        for agent in self.agents_by_id.values():
            report = agent.report(self.now)
            assert report.version in ("", agent.engine_version)

    def teardown(self):
        """In the end everything works again and the rollout gets there."""
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
            self.ask_all()
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


def lead(count, floor, **options):
    agents = {f"vm{n}": Agent(f"vm{n}") for n in range(count)}
    leader = reconciler.Reconciler("lm", 1, **options)
    leader.set_members(dict.fromkeys(agents, "d"))
    leader.desire(reconciler.Desired("2", 1, floor))
    return leader, agents


def play(leader, agents, seconds, outcomes_by_id=None):
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


def test_failing_engine_is_given_up_and_reported_at_its_old_version():
    leader, agents = lead(3, 0.3)
    play(leader, agents, 30.0, {"vm1": FAILED})
    assert leader.progress().failed == 1
    assert leader.progress().at_version == 2
    assert agents["vm1"].report(30.0).version == "1"
    assert leader.is_settled


def test_engine_that_loads_but_never_swaps_is_given_up():
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


def test_given_up_version_is_tried_again_under_a_new_generation():
    leader, agents = lead(3, 0.3)
    play(leader, agents, 30.0, {"vm1": FAILED})
    leader.desire(reconciler.Desired("2", 2, 0.3))
    play(leader, agents, 30.0)
    assert leader.progress().at_version == 3


def test_version_rolls_back_only_as_the_document_says():
    leader, agents = lead(4, 0.5)
    play(leader, agents, 20.0)
    leader.desire(reconciler.Desired("1", 2, 0.5))
    play(leader, agents, 20.0)
    assert {a.engine_version for a in agents.values()} == {"1"}


def test_floor_that_leaves_nothing_to_swap_is_told_and_kept():
    leader, agents = lead(1, 0.5)
    play(leader, agents, 10.0)
    assert leader.progress().is_blocked
    assert agents["vm0"].engine_version == "1"


def test_unreachable_replicas_count_as_out_of_service():
    leader, agents = lead(4, 0.5)
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


def test_loads_are_granted_at_the_stores_rate_and_evenly():
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
    leader, agents = lead(4, 0.5)
    play(leader, agents, 20.0)
    leader.load_ahead("3")
    ahead = play(leader, agents, 20.0)
    assert {kind for _, _, kind in ahead} == {messages.Kind.LOAD}
    assert len(ahead) == 4
    leader.desire(reconciler.Desired("3", 2, 0.5))
    starts = play(leader, agents, 20.0)
    assert {kind for _, _, kind in starts} == {ACTIVATE}


def test_status_is_rarely_asked_once_settled():
    leader, agents = lead(4, 0.5)
    play(leader, agents, 20.0)
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


def test_activation_whose_answer_was_lost_is_read_back():
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


def test_old_report_does_not_bring_a_swapping_replica_into_service():
    leader, agents = lead(1, 0.0)
    agent = agents["vm0"]
    play(leader, agents, 5.0)
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


def test_report_made_under_another_leader_proves_nothing():
    leader, agents = lead(1, 0.0)
    agent = agents["vm0"]
    agent.take(_order(messages.Kind.STATUS, "", 0, fencing=0), 0.0)
    leader.report(agent.report(0.0))
    assert leader.progress().in_service == 0
    agent.take(_order(messages.Kind.STATUS, "", 0, fencing=1), 0.0)
    leader.report(agent.report(0.0))
    assert leader.progress().in_service == 1


def test_order_of_an_earlier_leader_is_refused():
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
