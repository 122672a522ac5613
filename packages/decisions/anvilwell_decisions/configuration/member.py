"""Takes part in the agreement protocol for all services of an instance."""

import functools
import typing

from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import configuration as messages
from anvilwell_kernel import reasons

from anvilwell_decisions.configuration import exchange
from anvilwell_decisions.configuration import participant
from anvilwell_decisions.configuration import sponsorship


class Role(typing.NamedTuple):
    """The service that an instance follows; empty for entries, meaning all."""

    service: str = ""

    def follows(self, service):
        """Return whether the instance follows `service`."""
        return not self.service or self.service == service

    def covers(self, services):
        """Return whether it follows all of `services`; empty means all."""
        return not self.service or list(services) == [self.service]


class Member:
    """Answers control messages and returns the documents in force.

    Parameters
    ----------
    instance : messages.Instance
        This process.
    role : Role
        The services that it follows.
    bounds : limits.Limits
        The limits of the protocol.
    validate : callable
        Takes a service's name and a document's text; returns the problems of
        the text as a list of str.
    observe : callable
        Called with each ``messages.Document`` that is applied.
    """

    def __init__(self, instance, role, bounds, validate, observe):
        self.instance = instance
        self.role = role
        self.membership = sponsorship.Membership(bounds)
        self.is_leaving = False
        self._bounds = bounds
        self._validate = validate
        self._observe = observe
        self._participants_by_service = {}

    def participant(self, service):
        """Return the `Participant` of `service`."""
        found = self._participants_by_service.get(service)
        if found is None:
            found = participant.Participant(
                service, self.instance, self._bounds
            )
            self._participants_by_service[service] = found
        return found

    @property
    def documents_by_service(self):
        """The documents in force, even if a change of one is uncertain."""
        return {
            service: one.in_force
            for service, one in self._participants_by_service.items()
            if one.in_force.sequence
        }

    def document(self, service, now):
        """Return the ``messages.Document`` that applies to new work.

        Raises
        ------
        exceptions.Refused
            With the reason DRAINING, NOT_CONFIGURED or
            CONFIGURATION_UNCERTAIN.
        """
        if self.is_leaving:
            raise exceptions.Refused(
                "this daemon is draining", reason=reasons.Refusal.DRAINING
            )
        if not self.membership.may_serve(now):
            raise exceptions.Refused(
                "this daemon has not joined yet",
                reason=reasons.Refusal.NOT_CONFIGURED,
                retry_after=self._bounds.sponsor_s,
            )
        found = self._participants_by_service.get(service)
        if found is None:
            raise exceptions.Refused(
                f"this daemon has no document for service {service}",
                reason=reasons.Refusal.NOT_CONFIGURED,
            )
        found.check(now)
        return found.in_force

    def learn(self, document):
        """Process a document that was read from a record.

        Returns
        -------
        participant.LearnResult
        """
        if not self.role.follows(document.service):
            return participant.LearnResult.KNOWN
        result = self.participant(document.service).learn(document)
        self._observe_if_applied(document, result)
        return result

    def pending(self):
        """Return the `messages.PrepareChange` whose outcomes are unknown."""
        return [
            one.pending.prepare
            for one in self._participants_by_service.values()
            if one.pending is not None
        ]

    def resolutions_due(self, position_of, now):
        """Return the `messages.PrepareChange` whose outcomes to look up now.

        Parameters
        ----------
        position_of : callable
            Takes a prepare; returns this instance's rank for it within its
            failure domain.
        now : float
            Monotonic time, s.
        """
        due = [
            one.resolve_due(position_of(one.pending.prepare), now)
            for one in self._participants_by_service.values()
            if one.pending is not None
        ]
        return [one for one in due if one is not None]

    @functools.singledispatchmethod
    def handle(self, message, now):
        """Process a control message and return the message to answer with."""
        raise exceptions.MalformedMessage(
            f"unexpected message {type(message).__name__}"
        )

    @handle.register
    def _prepare(self, message: messages.PrepareChange, now):
        """Answer for this instance only; relaying is done elsewhere."""
        target = self._own_target(message)
        if target.incarnation != self.instance.incarnation:
            return messages.PrepareAnswer(
                target, message.attempt, messages.PrepareState.RESTARTED
            )
        service = message.document.service
        if self.is_leaving:
            return messages.PrepareAnswer(
                target, message.attempt, messages.PrepareState.LEAVING
            )
        problems = self._validate(service, message.document.text)
        answer = self.participant(service).prepare(message, problems, now)
        return answer._replace(instance=target)

    @handle.register
    def _commit(self, message: messages.CommitChange, now):
        """Apply the change and acknowledge it.

        The acknowledgement is empty if the sender must provide the document.
        """
        part = self.participant(message.service)
        before = part.in_force
        is_known = part.commit(message)
        if part.in_force is not before:
            self._observe_if_applied(
                part.in_force, participant.LearnResult.APPLIED
            )
        return messages.ChangeAcknowledged([self.instance.vm_id] * is_known)

    @handle.register
    def _abort(self, message: messages.AbortChange, now):
        self.participant(message.service).abort(message.attempt)
        return messages.ChangeAcknowledged([self.instance.vm_id])

    @handle.register
    def _digest(self, message: messages.DocumentDigest, now):
        """Answer with the versions of this instance if the hashes differ."""
        documents = self.documents_by_service
        mine = exchange.digest_of(documents, message.services)
        if mine.state_hash == message.state_hash:
            return messages.DocumentVersions(True, [])
        return messages.DocumentVersions(
            False, exchange.versions_of(documents, message.services)
        )

    @handle.register
    def _documents(self, message: messages.Documents, now):
        """Process received documents and answer with the requested ones."""
        for document in message.documents:
            self.learn(document)
        documents = self.documents_by_service
        wanted = [documents[one] for one in message.wanted if one in documents]
        return messages.Documents(list(exchange.limit(wanted)))

    @handle.register
    def _sponsor(self, message: messages.SponsorRequest, now):
        if not self._may_sponsor(message.services):
            return messages.SponsorAnswer(self.instance, False, [])
        documents = [
            one
            for one in self.documents_by_service.values()
            if not message.services or one.service in message.services
        ]
        return messages.SponsorAnswer(
            self.instance, True, list(exchange.limit(documents))
        )

    def _may_sponsor(self, services):
        if not self.membership.is_listed or self.is_leaving:
            return False
        if not self.role.covers(services):
            return False
        return not any(
            one.document.service in services or not services
            for one in self.pending()
        )

    def _own_target(self, message):
        return next(
            (
                one
                for one in message.targets
                if one.vm_id == self.instance.vm_id
            ),
            self.instance,
        )

    def _observe_if_applied(self, document, result):
        if result is participant.LearnResult.APPLIED:
            self._observe(document)
