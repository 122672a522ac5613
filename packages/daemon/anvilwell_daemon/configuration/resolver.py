"""Looks for outcomes of changes whose proposers have gone silent."""

import asyncio

from anvilwell_daemon.configuration import meters
from anvilwell_decisions.configuration import flows
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import configuration as messages
from anvilwell_kernel.telemetry import logs

TICK_S = 0.25
SEND_TIMEOUT_S = 0.5

_LOG = logs.get_logger(__name__)


class Resolver:
    """Reads the record, or ends the change there; tells its domain.

    Those of low rank in their failure domain look first and most
    often, so that an outage leaves few readers in each domain.

    Parameters
    ----------
    member : member.Member
        This instance's own part.
    store : store.Store
        The key-value service.
    peers : peers.Peers
        Links to the others.
    fleet : fleet.Fleet
        The others in this failure domain.
    bounds : limits.Limits
        The protocol's bounds.
    clock : clock.Clock
        Monotonic time.
    """

    def __init__(self, member, store, peers, fleet, bounds, clock):
        self._member = member
        self._store = store
        self._peers = peers
        self._fleet = fleet
        self._bounds = bounds
        self._clock = clock
        self._next_by_attempt = {}

    async def run(self):
        """Look for ever."""
        while True:
            await asyncio.sleep(TICK_S)
            pending = self._member.pending()
            attempts = {one.attempt for one in pending}
            self._next_by_attempt = {
                attempt: at
                for attempt, at in self._next_by_attempt.items()
                if attempt in attempts
            }
            if pending:
                await self._resolve_due()

    async def _resolve_due(self):
        now = self._clock.monotonic()
        due = self._member.resolutions_due(self._position, now)
        for prepare in due:
            if now >= self._next_by_attempt.get(prepare.attempt, now):
                await self._resolve(prepare)

    async def _resolve(self, prepare):
        position = self._position(prepare)
        pause_s = self._bounds.resolve_step_s * (position + 1)
        now = self._clock.monotonic()
        self._next_by_attempt[prepare.attempt] = now + pause_s
        service = prepare.document.service
        in_force = self._member.participant(service).in_force
        try:
            document = await self._store.run(flows.resolve(prepare, in_force))
        except exceptions.MalformedMessage as error:
            _LOG.log("unreadable", service=service, cause=error.message)
            return
        meters.count_resolution(document is not None)
        if document is None:
            return
        self._member.learn(document)
        await self._tell(document)

    async def _tell(self, document):
        message = messages.Documents([document])
        await asyncio.gather(
            *(
                self._send(one.vm_id, message)
                for one in self._fleet.neighbours(document.service)
            )
        )

    async def _send(self, vm_id, message):
        try:
            await self._peers.send(vm_id, message, timeout_s=SEND_TIMEOUT_S)
        except exceptions.AnvilwellError as error:
            # Exchanges repair it.
            _LOG.log("not-told", member=vm_id, cause=error.message)

    def _position(self, prepare):
        return self._fleet.position(prepare.attempt, prepare.document.service)
