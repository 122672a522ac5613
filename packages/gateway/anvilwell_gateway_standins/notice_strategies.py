"""Simulates three ways to deliver notices, in virtual time.

Each message takes a millisecond. Agents send notices at random times, and one
entry, the home, needs all of them. It learns from the registrations what
reaches it by no message.
"""

import asyncio
import collections
import random
import typing

import cbor2

from anvilwell_decisions.duties import rendezvous
from anvilwell_gateway.http import messages
from anvilwell_gateway import notices
from anvilwell_kernel import exceptions

DOMAINS = "abcd"
HOP_S = 0.001
HEAD_BYTES = 120
# Time until a live key lapses after its VM fell silent, in seconds.
LAPSE_S = 4.0
# Longest time until a registration shows a version, in seconds.
REGISTERED_S = 3.2
EVERY_S = 2.0
NOTICE = notices.Notice("10.0.0.9:8080", (("model", 12),), ("model",), 1)
SIZE = len(cbor2.dumps(NOTICE))


class DeliveryCost(typing.NamedTuple):
    """Messages and bytes for each notice, and the delays of notices."""

    messages: float
    size: float
    p99_s: float
    most_s: float


class World:
    """Entries, some of which fall silent, and the messages between them."""

    def __init__(self, entries):
        self._loop = asyncio.get_running_loop()
        self.vms = [f"e{number}" for number in range(entries)]
        self.domains = {
            vm: DOMAINS[n % len(DOMAINS)] for n, vm in enumerate(self.vms)
        }
        self.home = rendezvous.choose_vm("run", self.vms)
        self.silent_at = {}
        self.dead = set()
        self.resumed = asyncio.Event()
        self.messages = self.size = 0
        self.ages_s = []

    def ranked(self, domain):
        """Return the entries with live keys, those of `domain` first."""
        now = self._loop.time()
        registered = [
            vm
            for vm in self.vms
            if now - self.silent_at.get(vm, now) <= LAPSE_S
        ]
        near = [vm for vm in registered if self.domains[vm] == domain]
        return [
            *rendezvous.rank_vms("watch", near),
            *sorted(set(registered) - {*near}),
        ]

    def record_receipt(self, vm, *sent_at):
        """Record that an entry received notices sent at these times."""
        if vm == self.home:
            now = self._loop.time()
            self.ages_s += [now - at for at in sent_at]

    async def transmit(self, vm, size):
        """Transmit one message to `vm`; never return if it is silent."""
        self.messages += 1
        self.size += size + HEAD_BYTES
        await asyncio.sleep(HOP_S)
        if vm in self.dead:
            raise exceptions.BackendFailed("connection refused")
        if vm in self.silent_at:
            await self.resumed.wait()

    async def ask(self, vm, size):
        """Transmit a request and its response; fail after the timeout."""
        try:
            async with asyncio.timeout(notices.TIMEOUT_S):
                await self.transmit(vm, size)
                self.messages += 1
                self.size += HEAD_BYTES
                await asyncio.sleep(HOP_S)
        except TimeoutError:
            raise exceptions.BackendFailed("no answer") from None


class Broadcast:
    """Each agent sends its notices to all entries."""

    def __init__(self, world):
        self._world = world

    async def send(self, domain, sent_at):
        """Send one notice."""
        entries = self._world.ranked(domain)
        await asyncio.gather(*(self._send_to(vm, sent_at) for vm in entries))

    async def _send_to(self, vm, sent_at):
        try:
            await self._world.ask(vm, SIZE)
        except exceptions.BackendFailed:
            return
        self._world.record_receipt(vm, sent_at)


class Relayed:
    """The watcher of a domain relays notices to the other entries.

    It sends them along with the changes that it serves to its neighbours.
    """

    coalesce_s = 0.05

    def __init__(self, world):
        self._world = world
        self._sent_at_by_reader = collections.defaultdict(list)

    async def send(self, domain, sent_at):
        """Send one notice."""
        for reader in self._world.ranked(domain)[:3]:
            try:
                await self._world.ask(reader, SIZE)
            except exceptions.BackendFailed:
                continue
            self._sent_at_by_reader[reader].append(sent_at)
            if len(self._sent_at_by_reader[reader]) == 1:
                await self._relay(reader)
            return

    async def _relay(self, reader):
        await asyncio.sleep(self.coalesce_s)
        sent_at = self._sent_at_by_reader.pop(reader)
        if reader in self._world.silent_at:
            await self._world.resumed.wait()
        await asyncio.gather(
            *(self._relay_to(reader, domain, sent_at) for domain in DOMAINS)
        )

    async def _relay_to(self, reader, domain, sent_at):
        """Relay to one entry of a domain, which relays to its neighbours."""
        first = self._world.ranked(domain)[0]
        if self._world.domains[reader] != domain:
            try:
                await self._world.ask(first, SIZE * len(sent_at))
            except exceptions.BackendFailed:
                return
            reader = first
        self._world.record_receipt(reader, *sent_at)
        others = {vm for vm, at in self._world.domains.items() if at == domain}
        await asyncio.gather(
            *(self._answer(vm, sent_at) for vm in others - {reader})
        )

    async def _answer(self, vm, sent_at):
        """Answer a neighbour's waiting request, so that it sends another."""
        try:
            await self._world.ask(vm, SIZE * len(sent_at))
        except exceptions.BackendFailed:
            return
        self._world.record_receipt(vm, *sent_at)


class NamedRecipients:
    """Agents send to the entries that the responses name.

    Uses the real `notices.NoticeSender`.
    """

    def __init__(self, world):
        self._world = world
        self._senders = collections.defaultdict(self._create_sender)

    def _create_sender(self):
        sender = notices.NoticeSender()
        sender._pool = self
        return sender

    async def send(self, domain, sent_at):
        """Send one notice."""
        ranked = self._world.ranked(domain)
        # One agent in each domain represents all of them.
        sender = self._senders[domain]
        sender.set_entries(dict.fromkeys(self._world.vms, sent_at), ranked)
        await sender.send(NOTICE)

    async def call(self, vm_id, address, request, timeout_s, max_bytes):
        """Answer as an entry does."""
        await self._world.ask(vm_id, len(request.body))
        self._world.record_receipt(vm_id, address)
        answer = notices.NoticeResponse({"model": 11}, (self._world.home,))
        body = cbor2.dumps(answer)
        self._world.size += len(body)
        return messages.Reply(200, ()), body


async def simulate(strategy, entries, failure, agents=None, seconds=24.0):
    """Return the `DeliveryCost` of a strategy if a watcher fails midway.

    Parameters
    ----------
    strategy : type
        `Broadcast`, `Relayed` or `NamedRecipients`.
    entries : int
        Number of entries.
    failure : str
        "no", "killed", "cut" or "suspended": what happens to the watcher of
        domain "a".
    agents : int, optional
        Number of agents, as many as entries by default.
    seconds : float
        Duration, in seconds of virtual time.
    """
    rng = random.Random(7)
    world = World(entries)
    sender = strategy(world)
    agents = agents or entries
    loop = asyncio.get_running_loop()

    async def agent(domain):
        await asyncio.sleep(rng.uniform(0.0, EVERY_S))
        while loop.time() < seconds:
            sending.append(
                asyncio.create_task(sender.send(domain, loop.time()))
            )
            await asyncio.sleep(EVERY_S)

    async def inject_failure():
        await asyncio.sleep(seconds / 3)
        # Fail another entry than the home, as would nearly always be the case.
        found = world.ranked("a")
        reader = next(vm for vm in found if vm != world.home)
        world.silent_at[reader] = loop.time()
        if failure == "killed":
            world.dead.add(reader)
        elif failure == "suspended":
            await asyncio.sleep(6.0)
            del world.silent_at[reader]
            world.resumed.set()

    sending = []
    failures = [] if failure == "no" else [inject_failure()]
    agents = [agent(DOMAINS[n % len(DOMAINS)]) for n in range(agents)]
    await asyncio.gather(*agents, *failures)
    await asyncio.wait(sending, timeout=10.0)
    for task in sending:
        task.cancel()
    sent = len(sending)
    late = [REGISTERED_S] * (sent - len(world.ages_s))
    ages_s = sorted(min(age, REGISTERED_S) for age in [*world.ages_s, *late])
    return DeliveryCost(
        round(world.messages / sent, 1),
        round(world.size / sent),
        round(ages_s[int(0.99 * sent)], 4),
        round(ages_s[-1], 4),
    )
