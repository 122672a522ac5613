"""Carries changes to members by one relay in each failure domain."""

import asyncio
import itertools

from anvilwell_daemon.configuration import absence
from anvilwell_decisions.configuration import placement
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import configuration as messages
from anvilwell_kernel.telemetry import logs

MEMBER_TIMEOUT_S = 0.25
# More than a relay takes to ask a silent member and to probe it.
RELAY_TIMEOUT_S = 0.5

_LOG = logs.get_logger(__name__)


class Spread:
    """Sends changes to many members, and relays for others.

    Parameters
    ----------
    member : member.Member
        This instance's own part.
    peers : peers.Peers
        Links to the others.
    absences : absence.Absence
        Says what a silent member's silence means.
    clock : clock.Clock
        Time of what this instance answers itself.
    """

    def __init__(self, member, peers, absences, clock):
        self._member = member
        self._peers = peers
        self._absence = absences
        self._clock = clock
        self._asked = set()

    async def prepare(self, request, take):
        """Send `request` to its targets.

        ``take(answer)`` is called with each ``PrepareAnswer``. A target
        that is being asked already is not asked twice at a time.
        """
        keys = {(request.attempt, target) for target in request.targets}
        new = keys - self._asked
        targets = [target for _, target in sorted(new)]
        branches = placement.branches(request.attempt, targets)
        self._asked |= new
        try:
            await asyncio.gather(
                *(
                    self._ask(request._replace(targets=one.targets), take)
                    for one in branches
                )
            )
        finally:
            self._asked -= new

    async def tell(self, message):
        """Send a commit or an abort; return the ids that took it in."""
        branches = placement.branches(message.attempt, message.targets)
        taken = await asyncio.gather(
            *(
                self._tell_branch(message._replace(targets=one.targets))
                for one in branches
            )
        )
        return set(itertools.chain.from_iterable(taken))

    async def serve_prepare(self, vm_id, message):
        """Answer a prepare for this instance and those it relays to."""
        others = self._others(message)
        own = self._member.handle(message, self._clock.monotonic())
        relayed = await asyncio.gather(
            *(self._prepare_one(message, one) for one in others)
        )
        answers = [own] * (len(others) < len(message.targets))
        return messages.PrepareAnswers(message.attempt, [*answers, *relayed])

    async def serve_tell(self, vm_id, message):
        """Take in a commit or an abort and relay it."""
        own = self._member.handle(message, self._clock.monotonic())
        others = self._others(message)
        taken = await asyncio.gather(
            *(self._tell_one(message, one) for one in others)
        )
        ids = itertools.chain(own.vm_ids, *taken)
        return messages.ChangeAcknowledged(sorted(ids))

    async def _ask(self, message, take):
        for answer in await self._prepare_branch(message):
            take(await self._settle(answer))

    async def _settle(self, answer):
        if answer.state is not messages.PrepareState.UNREACHABLE:
            return answer
        if not await self._absence.is_gone(answer.instance):
            return answer
        return answer._replace(state=messages.PrepareState.GONE)

    async def _prepare_branch(self, message):
        relay = message.targets[0]
        if self._is_me(relay):
            return (await self.serve_prepare("", message)).answers
        if len(message.targets) == 1:
            return [await self._prepare_one(message, relay)]
        try:
            reply = await self._request(relay, message, RELAY_TIMEOUT_S)
        except exceptions.AnvilwellError:
            return await asyncio.gather(
                *(self._prepare_one(message, one) for one in message.targets)
            )
        return reply.answers

    async def _prepare_one(self, message, target):
        single = message._replace(targets=[target])
        if self._is_me(target):
            return self._member.handle(single, self._clock.monotonic())
        try:
            reply = await self._request(target, single, MEMBER_TIMEOUT_S)
            return reply.answers[0]
        except exceptions.AnvilwellError as error:
            cause = error.message
        state = messages.PrepareState.UNREACHABLE
        if await absence.refuses(target.address):
            state = messages.PrepareState.GONE
        _LOG.log(
            "no-answer", vm_id=target.vm_id, state=str(state), cause=cause
        )
        return messages.PrepareAnswer(target, message.attempt, state)

    async def _tell_branch(self, message):
        relay = message.targets[0]
        if self._is_me(relay):
            return (await self.serve_tell("", message)).vm_ids
        try:
            reply = await self._request(relay, message, RELAY_TIMEOUT_S)
        except exceptions.AnvilwellError:
            taken = await asyncio.gather(
                *(self._tell_one(message, one) for one in message.targets)
            )
            return list(itertools.chain.from_iterable(taken))
        return reply.vm_ids

    async def _tell_one(self, message, target):
        single = message._replace(targets=[target])
        if self._is_me(target):
            return self._member.handle(single, self._clock.monotonic()).vm_ids
        try:
            reply = await self._request(target, single, MEMBER_TIMEOUT_S)
        except exceptions.AnvilwellError:
            return []
        return reply.vm_ids

    async def _request(self, target, message, timeout_s):
        self._peers.learn(target.vm_id, target.address)
        return await self._peers.request(target.vm_id, message, timeout_s)

    def _is_me(self, target):
        return target.vm_id == self._member.instance.vm_id

    def _others(self, message):
        return [one for one in message.targets if not self._is_me(one)]
