"""Many daemons' configuration service in one process, on loopback."""

import asyncio
import contextlib
import itertools

from anvilwell_daemon.configuration import service as services
from anvilwell_daemon.keyvalue import facade
from anvilwell_daemon.peers import listener
from anvilwell_daemon.peers import service as peers
from anvilwell_kernel.messages import membership as messages
from anvilwell_kernel import services as kernels
from anvilwell_outside.adapters import etcd
from anvilwell_outside.adapters import http_client

HOST = "127.0.0.1"
SERVICE = "stops"
POLL_S = 0.01
THREADS = 2
KEY_VALUE_TIMEOUT_S = 1.0
TEXT = """\
[service]
name = stops
kind = plain
schema = 1
[traffic]
max_queue = {queue}
"""


def text_of(number):
    """Return a valid document; another one for each `number`."""
    return TEXT.format(queue=number)


class SharedMembership(kernels.Service):
    """Stands for the service ``membership``: all know all at once."""

    name = "membership"
    needs = ("listener", "peers")

    def __init__(self, members_by_id, failure_domain, role, service):
        self.members_by_id = members_by_id
        self._failure_domain = failure_domain
        self._role = role
        self._service = service
        self._vm_id = None

    async def start(self, kernel):
        """Make this daemon known and learn the others' addresses."""
        links = kernel.get("peers")
        self._vm_id = links.vm_id
        address = kernel.get("listener").address
        for member in self.members_by_id.values():
            links.learn(member.vm_id, member.address)
        self.members_by_id[self._vm_id] = messages.Member(
            self._vm_id,
            address,
            self._failure_domain,
            self._role,
            self._service,
            messages.State.LIVE,
            0,
        )

    async def stop(self):
        """Make this daemon known as dead."""
        member = self.members_by_id[self._vm_id]
        self.members_by_id[self._vm_id] = member._replace(
            state=messages.State.DEAD
        )


class Daemon:
    """One daemon: listener, peers, key-value calls and configuration.

    Parameters
    ----------
    fleet : Fleet
        What it belongs to.
    vm_id, failure_domain, role : str
        Who it is.
    """

    def __init__(self, fleet, vm_id, failure_domain, role):
        service = SERVICE if role == "agent" else ""
        client = http_client.HttpClient(fleet.keyvalue_address)
        self.vm_id = vm_id
        self.failure_domain = failure_domain
        self.role = role
        self.listener = listener.Listener(HOST, 0)
        self.peers = peers.Peers(vm_id, self.listener)
        self.configuration = services.Configuration(
            role, service, failure_domain, bounds=fleet.bounds
        )
        self.kernel = kernels.Kernel(
            [
                self.listener,
                self.peers,
                SharedMembership(
                    fleet.members_by_id, failure_domain, role, service
                ),
                facade.KeyValueFacade(
                    etcd.Etcd(client, fleet.meter),
                    timeout_s=KEY_VALUE_TIMEOUT_S,
                    threads=THREADS,
                ),
                self.configuration,
            ]
        )
        self._client = client

    async def start(self):
        """Start; return at once, joined or not."""
        await self.kernel.start()

    async def stop(self):
        """Stop in an orderly way."""
        await self.kernel.stop()
        self._client.close()

    async def crash(self):
        """Stop as a killed process does: nobody is told."""
        for task in list(self.configuration._tasks):
            task.cancel()
        await self.peers.stop()
        await self.listener.stop()
        for task in list(self.configuration._tasks):
            task.cancel()


class Fleet:
    """Starts and stops daemons around one key-value service.

    Parameters
    ----------
    keyvalue_address : str
        ``host:port`` of the key-value service.
    bounds : limits.Limits, optional
        The protocol's bounds.
    meter : meter.CallMeter, optional
        Counts the key-value calls of all daemons.
    """

    def __init__(self, keyvalue_address, *, bounds=None, meter=None):
        self.keyvalue_address = keyvalue_address
        self.bounds = bounds
        self.meter = meter
        self.members_by_id = {}
        self.daemons_by_id = {}

    async def start(self, entries, agents, domains=3):
        """Start daemons, entries first, spread over failure domains."""
        roles = ["entry"] * entries + ["agent"] * agents
        names = itertools.cycle(f"domain-{one}" for one in range(domains))
        count = len(self.daemons_by_id)
        for number, (role, domain) in enumerate(
            zip(roles, names, strict=False), count
        ):
            await self.add(f"vm-{number:03d}", domain, role)
        return list(self.daemons_by_id.values())

    async def add(self, vm_id, failure_domain, role):
        """Start one daemon and return it."""
        daemon = Daemon(self, vm_id, failure_domain, role)
        self.daemons_by_id[vm_id] = daemon
        await daemon.start()
        return daemon

    async def stop(self):
        """Stop all that still run."""
        await asyncio.gather(
            *(daemon.stop() for daemon in self.daemons_by_id.values())
        )

    async def joined(self):
        """Wait until all daemons may serve."""
        await self.until(
            lambda: all(
                daemon.configuration.is_ready()
                for daemon in self.daemons_by_id.values()
            )
        )

    async def until(self, is_reached, timeout_s=30.0):
        """Wait until `is_reached` returns true."""
        async with asyncio.timeout(timeout_s):
            while not is_reached():
                await asyncio.sleep(POLL_S)


@contextlib.asynccontextmanager
async def running(keyvalue_address, entries, agents, **options):
    """Give a `Fleet` whose daemons have all joined."""
    domains = options.pop("domains", 3)
    fleet = Fleet(keyvalue_address, **options)
    try:
        await fleet.start(entries, agents, domains)
        await fleet.joined()
        yield fleet
    finally:
        await fleet.stop()
