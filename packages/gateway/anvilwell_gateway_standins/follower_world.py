"""Simulates processes that follow one store, in virtual time.

The store's watches, the requests between neighbours and the renewals that show
whether the store answers are simulated; the followers, feeds and neighbours
are the real classes.
"""

import asyncio
import contextlib

from anvilwell_gateway import feeds
from anvilwell_gateway import freshness
from anvilwell_gateway.http import messages
from anvilwell_gateway import neighbours
from anvilwell_gateway import prefix_follower
from anvilwell_gateway import store as stores
from anvilwell_kernel import exceptions
from anvilwell_outside.ports import keyvalue

PREFIX = "p/"
KEY = "p/a"
RENEW_S = 0.7
RETRY_S = 0.1
ANSWER_S = 0.004
ONE_DOMAIN = dict.fromkeys(["e1", "e2", "e3", "e4", "e5"], "a")


class Store:
    """A store that keeps values with revisions and a history."""

    def __init__(self):
        self.revision = 1
        self.entries_by_key = {}
        self.history = []
        self.compacted = 0
        self.calls = []
        # The names of the processes that have renewed their leases.
        self.renewals = []
        self.is_paused = False
        self._changed = asyncio.Event()

    def write(self, value, key=KEY):
        """Write a number."""
        self.revision += 1
        data = str(value).encode()
        entry = keyvalue.Entry(key, data, self.revision)
        self.entries_by_key[key] = entry
        self.history.append(keyvalue.Change(key, data, self.revision))
        self._wake()

    def forget(self):
        """Drop the history, which ends waiting watches."""
        self.compacted = self.revision
        self.history.clear()
        self._wake()

    def _wake(self):
        if not self.is_paused:
            changed, self._changed = self._changed, asyncio.Event()
            changed.set()

    async def changes(self, after, wait_s):
        """Wait for changes after a revision."""
        try:
            async with asyncio.timeout(wait_s):
                while True:
                    if after < self.compacted:
                        raise stores.HistoryGone("gone")
                    found = tuple(
                        c for c in self.history if c.revision > after
                    )
                    if found and not self.is_paused:
                        return stores.Changes(found, self.revision)
                    await self._changed.wait()
        except TimeoutError:
            return stores.Changes((), self.revision)


class StoreConnection(stores.OutageTracker):
    """One process's connection to the store, which can be cut."""

    def __init__(self, store, name):
        super().__init__()
        self._store = store
        self._name = name
        self._cut = asyncio.Event()
        self._renewal_requested = asyncio.Event()
        self._refused = asyncio.Event()
        # Whether watches and reads are refused, and renewals as well.
        self.is_refusing = False
        self.is_refusing_renewals = False
        self.renewed_at = float("-inf")

    @property
    def is_cut(self):
        """Whether the store does not answer this process."""
        return self._cut.is_set()

    def cut(self):
        """Answer no calls from now on."""
        self._cut.set()

    def heal(self):
        """Answer new calls again; those already waiting stay unanswered."""
        self._cut = asyncio.Event()

    def refuse(self):
        """Refuse all calls from now on, also the watches that wait."""
        self.is_refusing = self.is_refusing_renewals = True
        refused, self._refused = self._refused, asyncio.Event()
        refused.set()

    def accept(self):
        """Answer all calls again."""
        self.is_refusing = self.is_refusing_renewals = False

    async def get(self, key):
        """Return one entry, or None."""
        return (await self.get_prefix(PREFIX)).entries_by_key.get(key)

    async def get_prefix(self, prefix):
        """Return all entries."""
        return await self._call("read", self._read(prefix), 0.8)

    async def _read(self, prefix):
        await asyncio.sleep(ANSWER_S)
        found = dict(self._store.entries_by_key)
        return keyvalue.Snapshot(found, self._store.revision)

    async def watch(self, prefix, revision, wait_s):
        """Wait for changes."""
        changes = self._store.changes(revision, wait_s)
        return await self._call("watch", changes, wait_s + 2.0)

    async def _call(self, kind, answer, timeout_s):
        self._store.calls.append((self._name, kind))
        if self.is_refusing:
            answer.close()
            raise exceptions.KeyValueUnavailable("refused")
        answering = asyncio.create_task(answer)
        cut = asyncio.create_task(self._cut.wait())
        refused = asyncio.create_task(self._refused.wait())
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.wait(
                    {answering, cut, refused},
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if self.is_cut:
                    await asyncio.get_running_loop().create_future()
                if refused.done():
                    raise exceptions.KeyValueUnavailable("refused")
                found = await answering
                self.note_success()
                return found
        except TimeoutError:
            self.note_failure()
            raise exceptions.KeyValueUnavailable("no answer") from None
        finally:
            answering.cancel()
            cut.cancel()
            refused.cancel()

    async def renew(self):
        """Check regularly whether the store answers, as lease renewals do."""
        loop = asyncio.get_running_loop()
        while True:
            self._renewal_requested.clear()
            has_failed = self.is_cut or self.is_refusing_renewals
            if self.is_cut:
                self.note_failure()
            elif not has_failed:
                await asyncio.sleep(ANSWER_S)
                self._store.renewals.append(self._name)
                self.renewed_at = loop.time()
                self.note_success()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RETRY_S if has_failed else RENEW_S):
                    await self._renewal_requested.wait()

    def renew_now(self):
        """Renew at once."""
        self._renewal_requested.set()


class NumberFollower(prefix_follower.PrefixFollower):
    """Records each number that it receives."""

    coalesce_s = 0.25

    def __init__(self, store, prefix=PREFIX):
        super().__init__(store, prefix)
        self.seen = []

    @property
    def newest(self):
        """The number received last."""
        return self.seen[-1] if self.seen else 0

    def load(self, entries_by_key):
        """Receive all entries."""
        if KEY in entries_by_key:
            self.seen.append(int(entries_by_key[KEY].value))

    def change(self, change):
        """Receive one change."""
        if change.key == KEY:
            self.seen.append(int(change.value))


class _Responder:
    status = 0
    body = b""

    async def send(self, status, headers=(), body=b""):
        self.status, self.body = status, body


class _Wire:
    """Connections between processes; a silent process never answers."""

    def __init__(self, world, name):
        self._world = world
        self._name = name

    async def call(self, vm_id, address, message, timeout_s, max_bytes):
        try:
            async with asyncio.timeout(timeout_s):
                return await self._ask(vm_id, message)
        except TimeoutError:
            raise exceptions.BackendFailed("no answer") from None

    async def _ask(self, vm_id, message):
        await asyncio.sleep(ANSWER_S)
        peer = self._world.processes_by_name[vm_id]
        if not peer.is_alive:
            raise exceptions.BackendFailed("connection refused")
        responder = _Responder()
        request = messages.Request(
            message.method, message.target, (), message.body
        )
        answering = asyncio.create_task(peer.feeds.answer(request, responder))
        try:
            await answering
        finally:
            answering.cancel()
        if {vm_id, self._name} & self._world.silent:
            await asyncio.get_running_loop().create_future()
        return messages.Reply(responder.status, ()), responder.body

    def close(self):
        pass


class Process:
    """One entry that follows the store."""

    def __init__(self, world, name, domain):
        loop = asyncio.get_running_loop()
        self.is_alive = True
        self.connection = StoreConnection(world.store, name)
        contact = freshness.StoreContact(
            lambda: self.connection.answered_at,
            self.connection.renew_now,
            RENEW_S,
        )
        self.feeds = feeds.Feeds(lambda: self._age_s(loop) < 1.2, contact)
        self.neighbours_finder = neighbours.Neighbours(
            name,
            domain,
            lambda: self._age_s(loop) < 1.2 - RENEW_S,
            check_store=self.connection.renew_now,
        )
        self.neighbours_finder._pool = _Wire(world, name)
        self.follower = NumberFollower(self.connection)
        self.follower.coalesce_s = world.coalesce_s
        # A second follower, to test that both react to the failures that one
        # of them meets.
        self.second_follower = NumberFollower(self.connection, "q/")
        self._renewal = asyncio.create_task(self.connection.renew())
        self.follower.start(self.neighbours_finder, self.feeds)
        self.second_follower.start(self.neighbours_finder, self.feeds)

    def _age_s(self, loop):
        return loop.time() - self.connection.renewed_at

    async def stop(self):
        """Stop the process."""
        self.is_alive = False
        self._renewal.cancel()
        await self.follower.stop()
        await self.second_follower.stop()


class World:
    """A store and entries in failure domains, all registered.

    Parameters
    ----------
    domains_by_name : dict
        The failure domain of each entry.
    coalesce_s : float, optional
        How long a follower collects changes, in seconds.
    """

    def __init__(self, domains_by_name, coalesce_s=0.25):
        self.coalesce_s = coalesce_s
        self.store = Store()
        self.silent = set()
        self._domains_by_name = domains_by_name
        self.processes_by_name = {
            name: Process(self, name, domain)
            for name, domain in domains_by_name.items()
        }
        self.register(domains_by_name)

    def register(self, names):
        """Register these entries with all processes."""
        entries = {
            name: neighbours.Candidate(name, self._domains_by_name[name])
            for name in names
        }
        for process in self.processes_by_name.values():
            process.neighbours_finder.set_entries(entries)

    @property
    def alive(self):
        """The processes that are running."""
        return [p for p in self.processes_by_name.values() if p.is_alive]

    def watchers(self):
        """Return the names of the processes that watch the store directly."""
        return sorted(
            name
            for name, process in self.processes_by_name.items()
            if process.is_alive and not process.follower.is_fed_by_neighbour
        )

    async def stop(self):
        """Stop all processes."""
        for process in self.alive:
            await process.stop()
