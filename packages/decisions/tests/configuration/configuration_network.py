"""Simulates a network with its messages and store calls, step by step."""

import enum
import typing

import configuration_store

from anvilwell_decisions.configuration import proposal


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


class Network:
    """Holds all messages and calls in transit.

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
        self.nodes_by_id = {}

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

    def flush(self, most=2000):
        """Deliver everything in transit, in order."""
        for _ in range(most):
            if not self.wire:
                return
            self.step(0, Fate.DELIVER)

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
