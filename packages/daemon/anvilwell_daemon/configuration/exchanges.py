"""Repairs what a lost commit left behind, peer by peer."""

import asyncio

from anvilwell_decisions.configuration import exchange
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import configuration as messages
from anvilwell_kernel.telemetry import logs

REQUEST_TIMEOUT_S = 0.5

_LOG = logs.get_logger(__name__)


class Exchanges:
    """Compares documents with one random live member at a time.

    Parameters
    ----------
    member : member.Member
        This instance's own part.
    peers : peers.Peers
        Links to the others.
    fleet : fleet.Fleet
        Chooses the partner.
    period_s : float
        Mean time between two exchanges, s.
    rng : random.Random
        Jitter.
    """

    def __init__(self, member, peers, fleet, period_s, rng):
        self._member = member
        self._peers = peers
        self._fleet = fleet
        self._period_s = period_s
        self._rng = rng

    async def run(self):
        """Exchange for ever."""
        while True:
            await asyncio.sleep(self._period_s * self._rng.uniform(0.8, 1.2))
            await self.exchange_once()

    async def exchange_once(self):
        """Compare with one member and repair both sides."""
        partner = self._fleet.partner()
        if partner is None:
            return
        try:
            await self._exchange(partner)
        except exceptions.AnvilwellError as error:
            _LOG.log("no-exchange", member=partner.vm_id, cause=error.message)

    async def _exchange(self, partner):
        documents = self._member.documents_by_service
        services = self._fleet.common_services(partner)
        digest = exchange.digest_of(documents, services)
        reply = await self._request(partner, digest)
        if reply.is_same:
            return
        difference = exchange.compare(
            self._member.documents_by_service,
            reply.versions,
            services,
            self._member.role.follows,
        )
        if not difference.documents and not difference.wanted:
            return
        answer = await self._request(partner, messages.Documents(*difference))
        for document in answer.documents:
            self._member.learn(document)

    async def _request(self, partner, message):
        return await self._peers.request(
            partner.vm_id, message, REQUEST_TIMEOUT_S
        )
