"""Joins the fleet by seeds at startup and after a network partition."""

import asyncio

from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import membership as messages
from anvilwell_kernel.telemetry import logs

FIRST_RETRY_S = 0.2
LAST_RETRY_S = 5.0
REVISIT_S = 60.0

_LOG = logs.get_logger(__name__)


class Joining:
    """Contacts seeds until other daemons are known.

    Afterwards it contacts a seed that is not known as live about once a
    minute. This heals a partition that lasted so long that both sides
    have removed each other's members as dead.

    Parameters
    ----------
    membership : service.Membership
        Receives the members that the seeds know.
    seeds : tuple of str
        Addresses (``host:port``) of the seeds.
    rng : random.Random
        Source of jitter, and of the seed to contact next.
    """

    def __init__(self, membership, seeds, rng):
        self._membership = membership
        self._seeds = seeds
        self._rng = rng

    async def run(self):
        """Join, then keep contacting seeds that are not known as live."""
        retry_s = FIRST_RETRY_S
        while True:
            seeds = self._unknown_seeds()
            if seeds:
                await self._contact(self._rng.choice(seeds))
            is_alone = len(self._membership.members_by_id) == 1
            pause_s = retry_s if is_alone else REVISIT_S
            retry_s = min(retry_s * 2, LAST_RETRY_S)
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.5))

    async def _contact(self, address):
        try:
            await self._membership.meet(address)
        except exceptions.AnvilwellError as error:
            _LOG.log("seed-unreachable", address=address, cause=error.message)

    def _unknown_seeds(self):
        live = messages.State.LIVE
        known = {m.address for m in self._membership.in_state(live)}
        return [seed for seed in self._seeds if seed not in known]
