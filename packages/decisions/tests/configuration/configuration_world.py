"""Simulates several instances, a store and a network, step by step."""

import enum
import functools
import math
import typing

import configuration_store

from anvilwell_decisions.configuration import flows
from anvilwell_decisions.configuration import limits
from anvilwell_decisions.configuration import member
from anvilwell_decisions.configuration import outcomes
from anvilwell_decisions.configuration import proposal
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import configuration as messages

SERVICE = configuration_store.SERVICE
BOUNDS = limits.Limits()
# Times are multiples of 1/8 s, which floats represent exactly. Otherwise a
# limit and its check could be rounded in different directions.
STEP_S = 0.125
UNREADABLE = "unreadable"


class Fate(enum.StrEnum):
    DELIVER = "deliver"
    DUPLICATE = "duplicate"
    DROP = "drop"
    LOSE_ANSWER = "lose-answer"
    LATE = "late"


class Packet(typing.NamedTuple):
    """A message in transit; ``take`` is called with the receiver's answer."""

    sender: str
    receiver: str
    message: object
    take: object = None


class Call(typing.NamedTuple):
    """A call of the store; its result goes to ``take(result, never_sent)``."""

    caller: str
    action: object
    take: object


class Node:
    """A simulated VM; each restart gives its instance a new incarnation."""

    def __init__(self, world, vm_id, role, is_old=False):
        self.world = world
        self.vm_id = vm_id
        self.role = role
        self.is_old = is_old
        self.starts = 0
        self.is_alive = False
        self.is_paused = False
        self.start()

    def start(self):
        self.starts += 1
        self.is_alive = True
        self.is_paused = False
        self.instance = messages.Instance(
            self.vm_id, f"{self.vm_id}#{self.starts}", "", self.vm_id[0]
        )
        self.member = member.Member(
            self.instance,
            self.role,
            BOUNDS,
            self._validate,
            self.world.on_document(self),
        )
        self.proposal = None
        self.is_joining = False
        self.resolving = set()
        self.join()

    def join(self):
        self.is_joining = True
        self.run(flows.join(self.instance, self.role), self._joined)

    def run(self, flow, done):
        self._advance(flow, done, self.instance, None)

    def propose(self, request):
        attempt = f"{request.change_id}@{self.instance.incarnation}"
        in_force = self.member.participant(SERVICE).in_force
        self.proposal = proposal.Proposal(
            request, attempt, in_force, BOUNDS, self.world.now
        )
        self.act(self.proposal.start())

    def act(self, actions):
        for action in actions:
            self._act(action)

    def tick(self):
        now = self.world.now
        if self.proposal:
            self.act(self.proposal.tick(now))
        membership = self.member.membership
        if not membership.is_listed and not self.is_joining:
            self.join()
        if not membership.is_listed:
            self._request_sponsor()
        for prepare in self.member.resolutions_due(self._position, now):
            if prepare.attempt not in self.resolving:
                self.resolving.add(prepare.attempt)
                in_force = self.member.participant(SERVICE).in_force
                self.run(
                    flows.resolve(prepare, in_force),
                    functools.partial(self._resolved, prepare.attempt),
                )

    def _act(self, action):
        me = self.proposal
        match action:
            case proposal.Read():
                self.run(flows.read_keys(SERVICE), self._on_reading)
            case proposal.SendPrepare(prepare):
                for target in prepare.targets:
                    self.world.send(self, target, prepare, self._on_answer)
            case proposal.CompareAndSwap():
                self.world.call(self, action, self._on_swap)
            case proposal.SendCommit(message) | proposal.SendAbort(message):
                for target in message.targets:
                    self.world.send(self, target, message, None)
            case proposal.ReportOutcome(outcome):
                self.world.on_outcome(me.attempt, me.request, outcome)

    def _on_reading(self, reading):
        now = self.world.now
        if reading is None:
            self.act(self.proposal.on_read_failed(now))
        else:
            self.act(self.proposal.on_reading(reading, now))

    def _on_answer(self, answer):
        if self.proposal:
            self.act(self.proposal.on_answer(answer, self.world.now))

    def _on_swap(self, is_applied, never_sent):
        now = self.world.now
        if is_applied is None:
            self.act(self.proposal.on_swap_lost(never_sent, now))
        else:
            self.act(self.proposal.on_swap(is_applied, now))

    def _advance(self, flow, done, instance, result, never_sent=False):
        if instance is not self.instance or not self.is_alive:
            return
        try:
            action = flow.send(result)
        except StopIteration as stop:
            done(stop.value)
            return
        self.world.call(
            self,
            action,
            functools.partial(self._advance, flow, done, instance),
        )

    def _joined(self, documents):
        self.is_joining = False
        if documents is None:
            return
        for document in documents:
            self.member.learn(document)
        self.member.membership.mark_listed()

    def _resolved(self, attempt, document):
        self.resolving.discard(attempt)
        if document is None:
            return
        self.member.learn(document)
        for peer in self.world.others(self):
            self.world.send(
                self, peer.instance, messages.Documents([document]), None
            )

    def _request_sponsor(self):
        request = messages.SponsorRequest([SERVICE])
        for peer in self.world.others(self):
            self.world.send(
                self,
                peer.instance,
                request,
                functools.partial(self._on_sponsor, self.world.now),
            )

    def _on_sponsor(self, requested_at, answer):
        if not answer.granted:
            return
        for document in answer.documents:
            self.member.learn(document)
        self.member.membership.record_sponsor_answer(
            answer.sponsor, requested_at
        )

    def _position(self, prepare):
        fellows = [
            one.vm_id
            for one in self.world.nodes_by_id.values()
            if one.vm_id[0] == self.vm_id[0]
        ]
        return sorted(fellows).index(self.vm_id)

    def _validate(self, service, text):
        is_unreadable = self.is_old and text.startswith(UNREADABLE)
        return ["schema of a later version"] * is_unreadable


class World:
    """Holds the nodes and all messages and calls in transit.

    ``wire`` holds what is in transit, ``held`` the store calls that are held
    back, ``cut`` the ids on one side of a network partition and
    ``without_store`` the nodes that can't reach the store.
    """

    def __init__(self):
        self.now = 0.0
        self.store = configuration_store.Store()
        self.wire = []
        self.held = []
        self.cut = frozenset()
        self.without_store = frozenset()
        self.accepted_at_by_generation = {}
        self.refused_attempts = set()
        self.refused_texts = set()
        self.in_force_generation = 0
        self.applied_by_incarnation = {}
        self.nodes_by_id = {}
        for vm_id, role in (
            ("a1", member.Role()),
            ("b1", member.Role()),
            ("a2", member.Role(SERVICE)),
            ("b2", member.Role(SERVICE)),
        ):
            is_old = vm_id == "b2"
            self.nodes_by_id[vm_id] = Node(self, vm_id, role, is_old)

    def others(self, node):
        return [one for one in self.nodes_by_id.values() if one is not node]

    def send(self, node, target, message, take):
        instance = node.instance

        def deliver_if_running(answer):
            if instance is node.instance and node.is_alive:
                take(answer)

        self.wire.append(
            Packet(
                node.vm_id, target.vm_id, message, take and deliver_if_running
            )
        )

    def call(self, node, action, take):
        instance = node.instance

        def deliver_result(result, never_sent=False):
            if instance is node.instance and node.is_alive:
                take(result, never_sent)

        self.wire.append(Call(node.vm_id, action, deliver_result))

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

    def step(self, index, fate):
        """Deliver, drop or delay one message or call in transit."""
        if not self.wire:
            return
        item = self.wire.pop(index % len(self.wire))
        if isinstance(item, Packet):
            self._step_packet(item, fate)
        else:
            self._step_call(item, fate)

    def step_call(self, fate):
        """Deliver, drop or delay the first store call in transit."""
        for index, item in enumerate(self.wire):
            if isinstance(item, Call):
                self.step(index, fate)
                return

    def hold_swaps(self, most):
        """Deliver in order until a compare-and-swap is sent; hold it back."""
        for _ in range(most):
            swaps = [
                one
                for one in self.wire
                if isinstance(one, Call)
                and isinstance(one.action, proposal.CompareAndSwap)
            ]
            if swaps:
                self.held += swaps
                self.wire = [one for one in self.wire if one not in swaps]
                return
            self.step(0, Fate.DELIVER)

    def release(self):
        """Send the calls that were held back."""
        self.wire += self.held
        self.held = []

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

    def flush(self, most=2000):
        """Deliver everything in transit, in order."""
        for _ in range(most):
            if not self.wire:
                return
            self.step(0, Fate.DELIVER)

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
            return node.member.document(SERVICE, self.now).generation
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
                if at + BOUNDS.fence_s <= self.now
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

    def _step_packet(self, packet, fate):
        receiver = self.nodes_by_id[packet.receiver]
        if fate in (Fate.DROP, Fate.LOSE_ANSWER) or not receiver.is_alive:
            return
        is_cut = (packet.sender in self.cut) != (packet.receiver in self.cut)
        if receiver.is_paused or is_cut or fate is Fate.LATE:
            self.wire.append(packet)
            return
        if fate is Fate.DUPLICATE:
            self.wire.append(packet)
        if isinstance(packet.message, _Reply):
            packet.take(packet.message.answer)
            return
        answer = receiver.member.handle(packet.message, self.now)
        if packet.take is not None:
            self.wire.append(
                Packet(
                    packet.receiver,
                    packet.sender,
                    _Reply(answer),
                    packet.take,
                )
            )

    def _step_call(self, call, fate):
        caller = self.nodes_by_id[call.caller]
        is_cut = (call.caller in self.cut) != ("store" in self.cut)
        is_cut = is_cut or call.caller in self.without_store
        if not caller.is_alive and fate is Fate.DELIVER:
            self._apply(call)
            return
        if caller.is_paused:
            self.wire.append(call)
            return
        if not self.store.is_up or is_cut:
            fate = Fate.DROP if fate is Fate.DELIVER else fate
        self._answer_call(call, fate)

    def _answer_call(self, call, fate):
        if fate is Fate.DROP:
            call.take(None, True)
        elif fate in (Fate.LATE, Fate.DUPLICATE):
            self.wire.append(call._replace(take=_ignore))
            call.take(None)
        elif fate is Fate.LOSE_ANSWER:
            self._apply(call)
            call.take(None)
        else:
            call.take(self._apply(call))

    def _apply(self, call):
        if not self.store.is_up:
            return None
        result = self.store.apply(call.action)
        generation = self.store.record().generation
        self.accepted_at_by_generation.setdefault(generation, self.now)
        return result


def involves(item, vm_id):
    """Return whether a message or call is from or to `vm_id`."""
    if isinstance(item, Call):
        return item.caller == vm_id
    return vm_id in (item.sender, item.receiver)


class _Reply(typing.NamedTuple):
    answer: object


def _ignore(result, never_sent=False):
    """Discard the result of a call whose caller no longer waits."""
