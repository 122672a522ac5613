"""Gets a starting daemon to where it may serve, and leaves again."""

import asyncio

from anvilwell_decisions.configuration import flows
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import configuration as messages
from anvilwell_kernel.telemetry import logs

FIRST_DELAY_S = 0.05
LONGEST_DELAY_S = 4.0
SPONSOR_PERIOD_S = 0.5
REQUEST_TIMEOUT_S = 0.5

_LOG = logs.get_logger(__name__)


class Joining:
    """Lists this instance; asks for a sponsor while that fails.

    Parameters
    ----------
    member : member.Member
        This instance's own part.
    store : store.Store
        The key-value service.
    exchange : exchanges.Exchanges
        Compares with one peer before serving: the service may have
        come back with older data than the others have seen.
    peers : peers.Peers
        Links to the others.
    fleet : fleet.Fleet
        Chooses the sponsor.
    clock : clock.Clock
        Monotonic time.
    rng : random.Random
        Jitter.
    """

    def __init__(self, member, store, exchange, peers, fleet, clock, rng):
        self._member = member
        self._store = store
        self._exchange = exchange
        self._peers = peers
        self._fleet = fleet
        self._clock = clock
        self._rng = rng

    async def join(self):
        """Try until this instance is listed and knows the documents."""
        delays_s = pauses(self._rng)
        while not await self._try():
            await asyncio.sleep(next(delays_s))
        await self._exchange.exchange_once()
        self._member.membership.mark_listed()

    async def stay_sponsored(self):
        """Ask for a sponsor, and hear from it, until listed."""
        while not self._member.membership.is_listed:
            await asyncio.sleep(SPONSOR_PERIOD_S)
            if not self._member.membership.is_listed:
                await self._ask()

    async def leave(self):
        """Take this instance off the list; the next change would."""
        try:
            await self._store.run(
                flows.leave(self._member.instance, self._member.role)
            )
        except exceptions.AnvilwellError as error:
            _LOG.log("still-listed", cause=error.message)

    async def _try(self):
        flow = flows.join(self._member.instance, self._member.role)
        try:
            documents = await self._store.run(flow)
        except exceptions.MalformedMessage as error:
            _LOG.log("unreadable", cause=error.message)
            return False
        if documents is None:
            return False
        for document in documents:
            self._member.learn(document)
        return True

    async def _ask(self):
        sponsor = self._fleet.sponsor()
        if sponsor is None:
            return
        service = self._member.role.service
        request = messages.SponsorRequest([service] * bool(service))
        asked_at = self._clock.monotonic()
        try:
            answer = await self._peers.request(
                sponsor.vm_id, request, REQUEST_TIMEOUT_S
            )
        except exceptions.AnvilwellError as error:
            _LOG.log("no-sponsor", member=sponsor.vm_id, cause=error.message)
            return
        if not answer.granted:
            return
        for document in answer.documents:
            self._member.learn(document)
        self._member.membership.record_sponsor_answer(answer.sponsor, asked_at)


def pauses(rng):
    """Yield the pause in s after each try that failed, for ever."""
    longest_s = FIRST_DELAY_S
    while True:
        yield rng.uniform(0, longest_s)
        longest_s = min(2 * longest_s, LONGEST_DELAY_S)
