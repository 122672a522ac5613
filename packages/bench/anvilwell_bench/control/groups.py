"""The daemons of one worker process with their control services."""

import asyncio
import itertools
import random
import time
import typing

from anvilwell_bench.configuration import groups
from anvilwell_bench.configuration import meters
from anvilwell_daemon.keyvalue import facade
from anvilwell_daemon.leases import service as leases
from anvilwell_daemon.membership import service as membership
from anvilwell_daemon.peers import listener
from anvilwell_daemon.peers import service as peers
from anvilwell_kernel import exceptions
from anvilwell_kernel.messages import membership as messages
from anvilwell_kernel import services
from anvilwell_outside.adapters import etcd
from anvilwell_outside.adapters import http_client

HOST = "127.0.0.1"
POLL_S = 0.02
THREADS = 2
LEADERSHIPS = 4
CANDIDATES = 2
_MESSAGES = "anvilwell_control_messages"


class Seen(typing.NamedTuple):
    """When one daemon first saw a state of the watched member."""

    observer: str
    at_s: float


class Daemon:
    """One daemon: links, membership, key-value calls and leases."""

    def __init__(self, address, calls, spec, seeds):
        self.spec = spec
        self.listener = listener.Listener(HOST, 0)
        self.peers = peers.Peers(spec.vm_id, self.listener)
        self.membership = membership.Membership(
            spec.role,
            "lm" if spec.role == "agent" else "",
            spec.failure_domain,
            seeds=seeds,
            rng=random.Random(spec.vm_id),
        )
        self.leases = leases.Leases(spec.vm_id)
        self.client = http_client.HttpClient(address)
        store = etcd.Etcd(self.client, calls)
        self.kernel = services.Kernel(
            [
                self.listener,
                self.peers,
                self.membership,
                facade.KeyValueFacade(store, threads=THREADS),
                self.leases,
            ]
        )

    async def crash(self):
        """Stop as a killed process does: nobody is told."""
        await self.membership.stop()
        await self.peers.stop()
        await self.listener.stop()


class ControlGroup(groups.Group):
    """Daemons with membership and leases.

    The first entries stand for the leaderships, as in the daemon.
    """

    async def _start(self):
        self._daemons_by_id = {}
        self._seeds = ()
        self._candidates = []
        self._seen_by_state = {}

    async def add(self, seeds):
        """Start the daemons; return the address of the first.

        Without seeds the first one is the seed of the others.
        """
        for spec in self.specs:
            daemon = Daemon(self.address, self.calls, spec, seeds)
            await daemon.kernel.start()
            self._daemons_by_id[spec.vm_id] = daemon
            seeds = seeds or (daemon.listener.address,)
        return next(iter(self._daemons_by_id.values())).listener.address

    async def knows(self, count):
        """Wait until all daemons know `count` live ones."""
        live = messages.State.LIVE
        for daemon in self._daemons_by_id.values():
            while len(daemon.membership.in_state(live)) < count:
                await asyncio.sleep(POLL_S)

    async def stand(self):
        """Let the first daemons here stand for all leaderships."""
        daemons = itertools.islice(self._daemons_by_id.values(), CANDIDATES)
        self._candidates = [
            asyncio.create_task(daemon.leases.hold(f"bench/{number}"))
            for daemon in daemons
            for number in range(LEADERSHIPS)
        ]

    async def held(self):
        """Wait until each leadership is held; return how many."""
        while sum(one.done() for one in self._candidates) < LEADERSHIPS:
            await asyncio.sleep(POLL_S)
        return LEADERSHIPS

    def messages(self):
        """Return the control messages sent so far."""
        return meters.sent(self._reader, _MESSAGES)

    def observe(self, vm_id):
        """Note from now on when daemons see `vm_id` leaving or dead."""
        self._seen_by_state = {
            messages.State.LEAVING: {},
            messages.State.DEAD: {},
        }
        for observer, daemon in self._daemons_by_id.items():
            if observer != vm_id:
                daemon.membership.subscribe(self._watcher(observer, vm_id))

    def _watcher(self, observer, vm_id):
        def note(before, after):
            seen = self._seen_by_state.get(after.state)
            if after.vm_id == vm_id and seen is not None:
                seen.setdefault(observer, time.monotonic())

        return note

    async def all_saw(self, state, vm_id):
        """Return when each daemon here saw `vm_id` in `state`."""
        observers = [v for v in self._daemons_by_id if v != vm_id]
        seen = self._seen_by_state[messages.State(state)]
        while len(seen) < len(observers):
            await asyncio.sleep(POLL_S)
        return list(seen.values())

    async def leave(self, vm_id):
        """Let `vm_id` announce that it leaves; return when."""
        at_s = time.monotonic()
        await self._daemons_by_id[vm_id].membership.drain()
        return at_s

    async def crash(self, vm_id):
        """Crash `vm_id`; return when."""
        at_s = time.monotonic()
        await self._daemons_by_id.pop(vm_id).crash()
        return at_s

    async def change(self, generation):
        """Nothing is configured here."""
        raise exceptions.BadRequest("no documents in this measurement")

    async def stop(self):
        """Stop the daemons."""
        for task in self._candidates:
            task.cancel()
        await asyncio.gather(*self._candidates, return_exceptions=True)
        for daemon in self._daemons_by_id.values():
            await daemon.kernel.stop()
            daemon.client.close()
