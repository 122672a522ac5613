"""A simulated VM that takes part in agreements on documents."""

import functools

import configuration_store

from anvilwell_decisions.configuration import flows
from anvilwell_decisions.configuration import limits
from anvilwell_decisions.configuration import member
from anvilwell_decisions.configuration import proposal
from anvilwell_kernel.messages import configuration as messages

SERVICE = configuration_store.SERVICE
BOUNDS = limits.Limits()
UNREADABLE = "unreadable"


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
