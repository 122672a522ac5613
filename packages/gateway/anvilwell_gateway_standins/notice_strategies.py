"""Three ways of a notice to the entry that needs it, in virtual time.

Each message takes a millisecond. Agents tell at random times; one entry,
the home, needs each notice. What reaches it by no message it learns from
the registrations.
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
# A live key lapses so long after its VM fell silent.
LAPSE_S = 4.0
# A registration shows a version after so long at most.
REGISTERED_S = 3.2
EVERY_S = 2.0
NOTICE = notices.Notice("10.0.0.9:8080", (("model", 12),), ("model",), 1)
SIZE = len(cbor2.dumps(NOTICE))


class DeliveryCost(typing.NamedTuple):
    """What a way cost for each notice, and how late notices came."""

    messages: float
    size: float
    p99_s: float
    most_s: float


class World:
    """Entries that may fall silent, and what went between them."""

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
        """Return the entries with live keys, one domain's first."""
        now = self._loop.time()
        there = [
            vm
            for vm in self.vms
            if now - self.silent_at.get(vm, now) <= LAPSE_S
        ]
        near = [vm for vm in there if self.domains[vm] == domain]
        return [
            *rendezvous.rank_vms("watch", near),
            *sorted(set(there) - {*near}),
        ]

    def record_receipt(self, vm, *made_at):
        """Have an entry learn notices."""
        if vm == self.home:
            now = self._loop.time()
            self.ages_s += [now - at for at in made_at]

    async def transmit(self, vm, size):
        """Carry one message to `vm`, or wait for ever."""
        self.messages += 1
        self.size += size + HEAD_BYTES
        await asyncio.sleep(HOP_S)
        if vm in self.dead:
            raise exceptions.BackendFailed("connection refused")
        if vm in self.silent_at:
            await self.resumed.wait()

    async def ask(self, vm, size):
        """Carry a question and its answer, or fail as a timeout does."""
        try:
            async with asyncio.timeout(notices.TIMEOUT_S):
                await self.transmit(vm, size)
                self.messages += 1
                self.size += HEAD_BYTES
                await asyncio.sleep(HOP_S)
        except TimeoutError:
            raise exceptions.BackendFailed("no answer") from None


class Broadcast:
    """Each agent tells all entries."""

    def __init__(self, world):
        self._world = world

    async def send(self, domain, made_at):
        """Tell of one notice."""
        everyone = self._world.ranked(domain)
        await asyncio.gather(*(self._send_to(vm, made_at) for vm in everyone))

    async def _send_to(self, vm, made_at):
        try:
            await self._world.ask(vm, SIZE)
        except exceptions.BackendFailed:
            return
        self._world.record_receipt(vm, made_at)


class Relayed:
    """The reader of a domain passes notices on, with what it tells."""

    coalesce_s = 0.05

    def __init__(self, world):
        self._world = world
        self._made_by_reader = collections.defaultdict(list)

    async def send(self, domain, made_at):
        """Tell of one notice."""
        for reader in self._world.ranked(domain)[:3]:
            try:
                await self._world.ask(reader, SIZE)
            except exceptions.BackendFailed:
                continue
            self._made_by_reader[reader].append(made_at)
            if len(self._made_by_reader[reader]) == 1:
                await self._pass_on(reader)
            return

    async def _pass_on(self, reader):
        await asyncio.sleep(self.coalesce_s)
        made = self._made_by_reader.pop(reader)
        if reader in self._world.silent_at:
            await self._world.resumed.wait()
        await asyncio.gather(
            *(self._pass_to(reader, domain, made) for domain in DOMAINS)
        )

    async def _pass_to(self, reader, domain, made):
        """Tell one entry of a domain, and by it those that ask it."""
        first = self._world.ranked(domain)[0]
        if self._world.domains[reader] != domain:
            try:
                await self._world.ask(first, SIZE * len(made))
            except exceptions.BackendFailed:
                return
            reader = first
        self._world.record_receipt(reader, *made)
        others = {vm for vm, at in self._world.domains.items() if at == domain}
        await asyncio.gather(
            *(self._answer(vm, made) for vm in others - {reader})
        )

    async def _answer(self, vm, made):
        """Answer a question that waits, which has it asked anew."""
        try:
            await self._world.ask(vm, SIZE * len(made))
        except exceptions.BackendFailed:
            return
        self._world.record_receipt(vm, *made)


class NamedRecipients:
    """Agents tell whomever the answers named, by the real `Teller`s."""

    def __init__(self, world):
        self._world = world
        self._senders = collections.defaultdict(self._create_sender)

    def _create_sender(self):
        sender = notices.NoticeSender()
        sender._pool = self
        return sender

    async def send(self, domain, made_at):
        """Tell of one notice."""
        ranked = self._world.ranked(domain)
        # One agent in a domain stands for all: each has its own in use.
        sender = self._senders[domain]
        sender.set_entries(dict.fromkeys(self._world.vms, made_at), ranked)
        await sender.send(NOTICE)

    async def call(self, vm_id, address, question, timeout_s, max_bytes):
        """Answer as an entry does."""
        await self._world.ask(vm_id, len(question.body))
        self._world.record_receipt(vm_id, address)
        answer = notices.NoticeResponse({"model": 11}, (self._world.home,))
        body = cbor2.dumps(answer)
        self._world.size += len(body)
        return messages.Reply(200, ()), body


async def simulate(strategy, entries, ends, agents=None, seconds=24.0):
    """Return what a way cost, as `Counted`, when a reader ``ends`` midway.

    Parameters
    ----------
    way : type
        `ToAll`, `Passed` or `Named`.
    entries : int
        How many there are.
    ends : str
        "no", "killed", "cut" or "suspended", the reader of domain "a".
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

    async def fail():
        await asyncio.sleep(seconds / 3)
        # The home is another one, as nearly always.
        found = world.ranked("a")
        reader = next(vm for vm in found if vm != world.home)
        world.silent_at[reader] = loop.time()
        if ends == "killed":
            world.dead.add(reader)
        elif ends == "suspended":
            await asyncio.sleep(6.0)
            del world.silent_at[reader]
            world.resumed.set()

    sending = []
    failing = [] if ends == "no" else [fail()]
    agents = [agent(DOMAINS[n % len(DOMAINS)]) for n in range(agents)]
    await asyncio.gather(*agents, *failing)
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
