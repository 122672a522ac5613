"""Simulates several instances and their faults, and checks their safety."""

import math

import configuration_network as networks
import configuration_node as nodes

from anvilwell_decisions.configuration import member
from anvilwell_decisions.configuration import outcomes
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import configuration as messages

# Times are multiples of 1/8 s, which floats represent exactly. Otherwise a
# limit and its check could be rounded in different directions.
STEP_S = 0.125


class World(networks.Network):
    """Holds the nodes, and what was accepted and refused so far."""

    def __init__(self):
        super().__init__()
        self.refused_attempts = set()
        self.refused_texts = set()
        self.in_force_generation = 0
        self.applied_by_incarnation = {}
        for vm_id, role in (
            ("a1", member.Role()),
            ("b1", member.Role()),
            ("a2", member.Role(nodes.SERVICE)),
            ("b2", member.Role(nodes.SERVICE)),
        ):
            is_old = vm_id == "b2"
            self.nodes_by_id[vm_id] = nodes.Node(self, vm_id, role, is_old)

    def others(self, node):
        return [one for one in self.nodes_by_id.values() if one is not node]

    def on_document(self, node):
        incarnation = node.instance.incarnation

        def observe(document):
            before = self.applied_by_incarnation.get(incarnation, 0)
            assert document.generation > before
            self.applied_by_incarnation[incarnation] = document.generation
            assert document.text not in self.refused_texts

        return observe

    def on_outcome(self, attempt, request, outcome):
        if outcome.outcome is outcomes.OutcomeKind.REFUSED:
            self.refused_attempts.add(attempt)
            self.refused_texts.add(request.text)
        if outcome.outcome is outcomes.OutcomeKind.IN_FORCE:
            assert outcome.generation in self.accepted_at_by_generation
            self.in_force_generation = max(
                self.in_force_generation, outcome.generation
            )

    def advance(self, seconds):
        """Advance the time and tick each running node."""
        self.now += seconds
        for node in self.nodes_by_id.values():
            if node.is_alive and not node.is_paused:
                node.tick()

    def settle(self, seconds=3.0):
        """End all faults and run all nodes for some seconds."""
        self.cut = frozenset()
        self.without_store = frozenset()
        self.store.is_up = True
        for node in self.nodes_by_id.values():
            node.is_paused = False
        for _ in range(math.ceil(seconds / STEP_S)):
            self.flush()
            self.advance(STEP_S)
        self.flush()

    def find_gone(self, node):
        """Notify the proposal of `node` of targets that are certainly gone."""
        if not node.proposal:
            return
        for key in list(node.proposal._waiting_by_key):
            target = self.nodes_by_id[key[0]]
            is_same = target.instance.incarnation == key[1]
            if target.is_alive and is_same:
                continue
            instance = node.proposal._waiting_by_key.get(key)
            if instance is not None:
                answer = messages.PrepareAnswer(
                    instance,
                    node.proposal.attempt,
                    messages.PrepareState.GONE,
                )
                node._on_answer(answer)

    def exchange(self, sender, receiver):
        """Send the documents in force at one node to another."""
        node = self.nodes_by_id[sender]
        if node.is_alive and not node.is_paused and sender != receiver:
            documents = list(node.member.documents_by_service.values())
            self.send(
                node,
                self.nodes_by_id[receiver].instance,
                messages.Documents(documents),
                None,
            )

    def generation_served(self, node):
        """Return the generation that `node` uses for new work, or None."""
        if not node.is_alive or node.is_paused:
            return None
        try:
            return node.member.document(nodes.SERVICE, self.now).generation
        except exceptions.Refused:
            return None

    def check(self):
        """Assert the safety properties of the protocol.

        No refused attempt is in the record, and the record is not older than a
        generation that was reported to be in force. No node serves a
        generation that was never accepted, or one that was replaced more than
        ``fence_s`` ago.
        """
        record = self.store.record()
        attempts = {one.attempt for one in record.history}
        assert not attempts & self.refused_attempts
        assert record.generation >= self.in_force_generation
        oldest = max(
            (
                generation
                for generation, at in self.accepted_at_by_generation.items()
                if at + nodes.BOUNDS.fence_s <= self.now
            ),
            default=0,
        )
        for node in self.nodes_by_id.values():
            served = self.generation_served(node)
            assert served is None or served >= oldest, (
                f"{node.vm_id} serves {served} after the fence of {oldest}"
            )
            assert served is None or served in self.accepted_at_by_generation

    def check_settled(self):
        """Assert that all running nodes serve the accepted generation."""
        generation = self.store.record().generation
        for node in self.nodes_by_id.values():
            if node.is_alive and not node.member.is_leaving:
                served = self.generation_served(node)
                assert served == (generation or None), (
                    f"{node.vm_id} serves {served}, accepted {generation}"
                )
