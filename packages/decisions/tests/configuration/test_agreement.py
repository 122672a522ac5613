"""Checks the safety of the agreement protocol under random faults."""

import configuration_network as networks
import configuration_node as nodes
import configuration_world as worlds
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from anvilwell_decisions.configuration import outcomes

NODES = strategies.sampled_from(("a1", "b1", "a2", "b2"))
ENTRIES = strategies.sampled_from(("a1", "b1"))
FATES = strategies.sampled_from(networks.Fate)
CUTS = strategies.sampled_from(
    (
        frozenset(),
        frozenset(("a1", "a2")),
        frozenset(("b1", "b2", "store")),
        frozenset(("b2",)),
        frozenset(("a1",)),
    )
)
CALL_FATES = strategies.sampled_from(
    (
        networks.Fate.DELIVER,
        networks.Fate.LOSE_ANSWER,
        networks.Fate.LATE,
        networks.Fate.DROP,
    )
)
NODE_FAULTS = strategies.sampled_from(("crash", "restart", "pause", "leave"))


class AgreementMachine(stateful.RuleBasedStateMachine):
    """Changes documents while messages are lost and nodes fail.

    Messages and store calls are also repeated and delayed; nodes crash,
    restart, pause and leave.
    """

    def __init__(self):
        super().__init__()
        self.world = worlds.World()
        self.changes = 0

    @stateful.initialize(is_configured=strategies.booleans())
    def start(self, is_configured):
        self.world.settle(0.5)
        if is_configured:
            self._propose("a1", "first")
            self.world.settle(0.5)

    @stateful.rule(vm_id=ENTRIES, count=strategies.integers(0, 30))
    def change(self, vm_id, count):
        self.changes += 1
        self._propose(vm_id, f"change-{self.changes}")
        self._deliver(count)

    @stateful.rule(vm_id=ENTRIES)
    def change_to_unreadable(self, vm_id):
        self.changes += 1
        self._propose(vm_id, f"{nodes.UNREADABLE}-{self.changes}")
        self._deliver(10)

    @stateful.rule(index=strategies.integers(0, 12), fate=FATES)
    def step(self, index, fate):
        self.world.step(index, fate)

    @stateful.rule(fate=CALL_FATES)
    def step_call(self, fate):
        self.world.step_call(fate)

    @stateful.rule(count=strategies.integers(1, 30))
    def deliver(self, count):
        self._deliver(count)

    @stateful.rule(
        seconds=strategies.sampled_from((0.25, 0.625, 1.125)),
        count=strategies.integers(0, 30),
    )
    def advance(self, seconds, count):
        self.world.advance(seconds)
        self._deliver(count)

    @stateful.rule()
    def pass_fence(self):
        self.world.advance(nodes.BOUNDS.fence_s)

    @stateful.rule(vm_id=NODES, fault=NODE_FAULTS)
    def fail_node(self, vm_id, fault):
        node = self.world.nodes_by_id[vm_id]
        if fault == "crash":
            node.is_alive = False
        elif fault == "restart":
            node.start()
        elif fault == "pause":
            node.is_paused = not node.is_paused
        elif not self._leaving_nodes():
            node.member.is_leaving = True

    @stateful.rule(vm_id=NODES, is_up=strategies.booleans(), cut=CUTS)
    def start_during_outage(self, vm_id, is_up, cut):
        self.world.store.is_up = False
        self.world.nodes_by_id[vm_id].start()
        self._deliver(5)
        self.world.advance(worlds.STEP_S)
        self._deliver(10)
        self.world.store.is_up = is_up
        self.world.cut = cut

    @stateful.rule(vm_id=NODES, proposer=ENTRIES)
    def restart_during_a_write(self, vm_id, proposer):
        """Restart a node while an accepting write is held back."""
        self.changes += 1
        self._propose(proposer, f"change-{self.changes}")
        self.world.hold_swaps(20)
        self.world.nodes_by_id[vm_id].start()
        self._deliver(10)
        self.world.release()

    @stateful.rule(sender=NODES, receiver=NODES)
    def exchange(self, sender, receiver):
        self.world.exchange(sender, receiver)

    @stateful.rule(is_up=strategies.booleans(), cut=CUTS, without_store=CUTS)
    def fail_links(self, is_up, cut, without_store):
        self.world.store.is_up = is_up
        self.world.cut = cut
        self.world.without_store = without_store

    @stateful.rule(vm_id=ENTRIES, count=strategies.integers(0, 30))
    def find_gone(self, vm_id, count):
        node = self.world.nodes_by_id[vm_id]
        if node.is_alive and not node.is_paused:
            self.world.find_gone(node)
        self._deliver(count)

    @stateful.rule()
    def settle(self):
        self.world.settle()
        self.world.check_settled()

    @stateful.invariant()
    def check(self):
        self.world.check()

    def _propose(self, vm_id, text):
        node = self.world.nodes_by_id[vm_id]
        if self._is_free(node):
            node.propose(
                outcomes.Request(text, nodes.SERVICE, text, "operator")
            )

    def _deliver(self, count):
        for _ in range(count):
            self.world.step(0, networks.Fate.DELIVER)

    def _leaving_nodes(self):
        return [
            node
            for node in self.world.nodes_by_id.values()
            if node.member.is_leaving
        ]

    def _is_free(self, node):
        if not node.is_alive or node.is_paused or node.member.is_leaving:
            return False
        if not node.member.membership.is_listed:
            return False
        return node.proposal is None or node.proposal.phase == "done"


EXAMPLES = 700
TestAgreement = AgreementMachine.TestCase
TestAgreement.pytestmark = [pytest.mark.fuzz, pytest.mark.timeout(3600)]
TestAgreement.settings = hypothesis.settings(
    max_examples=max(EXAMPLES, hypothesis.settings().max_examples),
    stateful_step_count=22,
)
