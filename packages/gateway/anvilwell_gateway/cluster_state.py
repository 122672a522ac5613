"""What the store tells of the other VMs: who is there, what has ended."""

import asyncio

from anvilwell_gateway import live_keys
from anvilwell_gateway import prefix_follower
from anvilwell_kernel.telemetry import logs

PREFIX = live_keys.NEWS_PREFIX
ENDED_PREFIX = f"{PREFIX}ended/"
# Entries that start with an agent register within so long, in seconds.
REGISTRATION_WAIT_S = 0.2

_LOG = logs.get_logger(__name__)


class ClusterState(prefix_follower.PrefixFollower):
    """Knows which lives are there and which batches have ended.

    Parameters
    ----------
    store : store.AsyncStore
        Where the news lie.
    presence : presence.Presence
        This process.
    store_path : store_paths.FailoverPath
        Told of the peers that may help.
    neighbours : neighbours.Neighbours
        Told of the entries, too.
    """

    def __init__(self, store, presence, store_path, neighbours):
        super().__init__(store, PREFIX)
        self._presence = presence
        self._store_path = store_path
        self._neighbours = neighbours
        self._listeners = []
        self._entry_listeners = []
        self._delegates_by_prefix = {}
        self._live = live_keys.LiveKeys()
        self.ended = set()

    @property
    def incarnations_by_vm(self):
        """The life of each VM that is there."""
        return self._live.incarnations_by_vm

    @property
    def addresses_by_vm(self):
        """Where each VM that is there helps others."""
        return self._live.addresses_by_vm

    @property
    def domains_by_vm(self):
        """The failure domain of each VM that is there."""
        return {
            vm_id: live.failure_domain
            for vm_id, live in self._live.by_vm.items()
        }

    @property
    def live_by_vm(self):
        """The `live_keys.LiveKeyValue` of each VM that is there, by VM."""
        return self._live.by_vm

    def listen(self, callback):
        """Call ``callback(lost_vms, ended_batches)`` on news."""
        self._listeners.append(callback)

    def listen_entries(self, callback):
        """Call ``callback()`` when other entries may be there than before."""
        self._entry_listeners.append(callback)

    def delegate_prefix(self, prefix, delegate):
        """Have `taker` load and change what lies under a longer prefix.

        So it shares the watch and the first read of the news.
        """
        self._delegates_by_prefix[prefix] = delegate

    async def read_incarnations(self):
        """Return incarnations_by_vm as the store has them now.

        What this follower knows may be older than what else was read.
        """
        snapshot = await self._store.get_prefix(live_keys.PREFIX)
        return live_keys.incarnations(
            live_keys.read_all(snapshot.entries_by_key)
        )

    def load(self, entries_by_key):
        """Take all that is there now."""
        before = self.incarnations_by_vm
        self._live.load(entries_by_key)
        ended = {
            key.removeprefix(ENDED_PREFIX)
            for key in entries_by_key
            if key.startswith(ENDED_PREFIX)
        }
        lost = {
            vm_id
            for vm_id, life in before.items()
            if self.incarnations_by_vm.get(vm_id) != life
        }
        fresh = ended - self.ended
        self._notify_entry_change()
        self.ended |= ended
        for prefix, delegate in self._delegates_by_prefix.items():
            delegate.load(
                {
                    key: entry
                    for key, entry in entries_by_key.items()
                    if key.startswith(prefix)
                }
            )
        self._notify(lost, fresh)

    def change(self, change):
        """Take one piece of news."""
        if change.key.startswith(ENDED_PREFIX):
            batch_id = change.key.removeprefix(ENDED_PREFIX)
            if change.value is None:
                self.ended.discard(batch_id)
            else:
                self.ended.add(batch_id)
                self._notify(set(), {batch_id})
        elif change.key.startswith(live_keys.PREFIX):
            self._change_live(change)
        for prefix, delegate in self._delegates_by_prefix.items():
            if change.key.startswith(prefix):
                delegate.change(change)

    def _change_live(self, change):
        lives_before = self.incarnations_by_vm
        vm_id = self._live.change(change)
        before = lives_before.get(vm_id)
        now = self.incarnations_by_vm.get(vm_id)
        self._notify_entry_change()
        _LOG.log("peer", peer=vm_id, is_live=now is not None)
        if before and before != now:
            self._notify({vm_id}, set())

    def _notify(self, lost, ended):
        if self._presence.vm_id in lost:
            mine = self.incarnations_by_vm.get(self._presence.vm_id)
            if mine != self._presence.incarnation:
                self._presence.key_lost()
        for callback in self._listeners:
            callback(lost, ended)

    def _notify_entry_change(self):
        addresses_by_vm = self.addresses_by_vm
        addresses_by_vm.pop(self._presence.vm_id, None)
        self._store_path.set_peers(addresses_by_vm)
        self._neighbours.set_entries(self._live.candidates_by_vm)
        for callback in self._entry_listeners:
            callback()


class EntryFollower(prefix_follower.PrefixFollower):
    """Tells an agent which entries are there.

    Parameters
    ----------
    store : store.AsyncStore
        Where the news lie.
    on_change : callable
        Told of the `live_keys.LiveKeys` after each change.
    """

    def __init__(self, store, on_change):
        super().__init__(store, PREFIX)
        self._on_change = on_change
        self._live = live_keys.LiveKeys()
        self._has_waited = False

    async def _load(self, neighbour):
        """Read the whole; once more if no entry is there at the start.

        A watch would tell of one as well, but some prefixes would be
        watched at the store by then, for as long as they are quiet.
        """
        revision = await super()._load(neighbour)
        if self._live.by_vm or self._has_waited:
            return revision
        self._has_waited = True
        await asyncio.sleep(REGISTRATION_WAIT_S)
        return await super()._load(neighbour)

    def load(self, entries_by_key):
        """Take all that is there now."""
        self._live.load(entries_by_key)
        self._on_change(self._live)

    def change(self, change):
        """Take one piece of news."""
        if change.key.startswith(live_keys.PREFIX):
            self._live.change(change)
            self._on_change(self._live)
