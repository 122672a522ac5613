"""The service ``membership``: tracks the members of the fleet."""

import asyncio
import random

from anvilwell_daemon.membership import joining
from anvilwell_daemon.membership import listing
from anvilwell_decisions.membership import node as nodes
from anvilwell_kernel import clock as clocks
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import membership as messages
from anvilwell_kernel import services
from anvilwell_kernel.telemetry import logs

TICK_S = 0.1
MS_PER_S = 1000
SEND_TIMEOUT_S = 1.0

_LOG = logs.get_logger(__name__)


class Membership(services.Service):
    """Runs the membership protocol and reports changes of members.

    Parameters
    ----------
    role, service, failure_domain : str
        Announced to the other members; ``service`` is "" for entries.
    seeds : iterable of str
        Addresses (``host:port``) of daemons through which this one joins.
    vm_list : ports.vmlist.VmList, optional
        The platform's list of VMs.
    """

    name = "membership"
    needs = ("listener", "peers")

    def __init__(
        self,
        role,
        service,
        failure_domain,
        *,
        seeds=(),
        vm_list=None,
        clock=None,
        rng=None,
    ):
        self._role = role
        self._service = service
        self._failure_domain = failure_domain
        self._seeds = tuple(seeds)
        self._vm_list = vm_list
        self._clock = clock or clocks.SystemClock()
        self._rng = rng or random.Random()
        self._callbacks = []
        self._tasks = set()
        self._peers = None
        self._node = None

    @classmethod
    def from_config(cls, settings, vm_list=None):
        """Return the service for the daemon with `settings`."""
        return cls(
            settings.daemon.role,
            settings.agent.service if settings.agent else "",
            settings.daemon.failure_domain,
            seeds=[str(seed) for seed in settings.membership.seeds],
            vm_list=vm_list,
        )

    @property
    def me(self):
        """The member record of this daemon."""
        return self._node.me

    @property
    def members_by_id(self):
        """All known members, including this daemon and dead ones."""
        return self._node.members_by_id

    @property
    def neighbours(self):
        """Ids of the daemons that this one exchanges heartbeats with."""
        return self._node.neighbours

    @property
    def is_isolated(self):
        """Whether no neighbour responds, so this daemon is isolated."""
        return self._node.is_isolated

    def in_state(self, *states):
        """Return the members in one of `states`, sorted by id."""
        found = (m for m in self.members_by_id.values() if m.state in states)
        return sorted(found)

    def subscribe(self, callback):
        """Call ``callback(before, after)`` when a member record changes.

        ``before`` is None for a new member. Callbacks run on the event
        loop and must not block.
        """
        self._callbacks.append(callback)

    def unsubscribe(self, callback):
        """Remove a callback added by ``subscribe``."""
        self._callbacks.remove(callback)

    async def start(self, kernel):
        """Start sending heartbeats and joining through the seeds."""
        self._peers = kernel.get("peers")
        me = messages.Member(
            self._peers.vm_id,
            kernel.get("listener").address,
            self._failure_domain,
            self._role,
            self._service,
            messages.State.LIVE,
            int(self._clock.wall() * MS_PER_S),
        )
        self._node = nodes.Node(me, self._rng)
        for kind in messages.KINDS:
            self._peers.on(kind, self._receive)
        self._spawn(self._tick())
        self._spawn(joining.Joining(self, self._seeds, self._rng).run())
        if self._vm_list:
            reader = listing.Listing(self, self._vm_list, self._rng)
            self._spawn(reader.run())

    async def drain(self):
        """Announce that this daemon accepts no new work."""
        self._carry_out(self._node.leave(self._now()))

    async def stop(self):
        """Stop sending; the others detect the missing heartbeats."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def is_ready(self):
        """Return whether another daemon is known or there are no seeds."""
        is_alone = len(self.members_by_id) == 1
        return not (is_alone and self._seeds)

    async def meet(self, address):
        """Exchange member tables with the daemon at `address`.

        Raises
        ------
        exceptions.AnvilwellError
            If no daemon responds there.
        """
        vm_id = await self._peers.meet(address)
        if vm_id != self._peers.vm_id:
            self._carry_out(self._node.meet(self._now(), vm_id))

    def mark_leaving(self, vm_ids):
        """Mark `vm_ids` as leaving, as reported by the VM list."""
        self._carry_out(self._node.mark_leaving(self._now(), vm_ids))

    async def _tick(self):
        while True:
            self._carry_out(self._node.tick(self._now()))
            await asyncio.sleep(TICK_S)

    async def _receive(self, vm_id, message):
        self._carry_out(self._node.receive(self._now(), vm_id, message))

    def _carry_out(self, actions):
        for action in actions:
            if isinstance(action, nodes.Send):
                self._spawn(self._send(action))
            else:
                self._publish(action)

    async def _send(self, send):
        if send.address:
            self._peers.learn(send.vm_id, send.address)
        try:
            await self._peers.send(
                send.vm_id, send.message, timeout_s=SEND_TIMEOUT_S
            )
        except exceptions.Timeout:
            self._peers.drop(send.vm_id)
        except exceptions.AnvilwellError as error:
            # The failure detector counts the missing acknowledgement, so
            # the message is not sent again here.
            _LOG.log("unsent", to=send.vm_id, reason=str(error.reason))

    def _publish(self, change):
        after = change.after
        if after.state is messages.State.DEAD:
            self._peers.forget(after.vm_id)
        else:
            self._peers.learn(after.vm_id, after.address)
        if change.before is None or change.before.state is not after.state:
            _LOG.log("member", member=after.vm_id, state=after.state.name)
        for callback in list(self._callbacks):
            callback(change.before, after)

    def _now(self):
        return self._clock.monotonic()

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
