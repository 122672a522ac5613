"""Finds the fleet by seeds at the start and after a long split."""

import asyncio

from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import membership as messages
from anvilwell_kernel.telemetry import logs

FIRST_RETRY_S = 0.2
LAST_RETRY_S = 5.0
REVISIT_S = 60.0

_LOG = logs.get_logger(__name__)


class Joining:
    """Asks seeds for the other daemons until some are known.

    Afterwards it visits, about once a minute, a seed that is not known
    as live: a split that outlasted the memory of the dead heals by it.

    Parameters
    ----------
    membership : service.Membership
        Gains what the seeds know.
    seeds : tuple of str
        Addresses.
    rng : random.Random
        Source of jitter and choice.
    """

    def __init__(self, membership, seeds, rng):
        self._membership = membership
        self._seeds = seeds
        self._rng = rng

    async def run(self):
        """Join, then go on visiting seeds that are not known."""
        retry_s = FIRST_RETRY_S
        while True:
            seeds = self._unknown_seeds()
            if seeds:
                await self._visit(self._rng.choice(seeds))
            is_alone = len(self._membership.members_by_id) == 1
            pause_s = retry_s if is_alone else REVISIT_S
            retry_s = min(retry_s * 2, LAST_RETRY_S)
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.5))

    async def _visit(self, address):
        try:
            await self._membership.meet(address)
        except exceptions.AnvilwellError as error:
            _LOG.log("seed-unreachable", address=address, cause=error.message)

    def _unknown_seeds(self):
        live = messages.State.LIVE
        known = {m.address for m in self._membership.in_state(live)}
        return [seed for seed in self._seeds if seed not in known]
