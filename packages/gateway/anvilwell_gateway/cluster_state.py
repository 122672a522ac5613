"""Follows which processes are live and which batches have ended."""

import asyncio

from anvilwell_gateway import live_keys
from anvilwell_gateway import prefix_follower
from anvilwell_kernel.telemetry import logs

PREFIX = live_keys.NEWS_PREFIX
ENDED_PREFIX = f"{PREFIX}ended/"
# Time within which entries that start together with an agent register, in
# seconds.
REGISTRATION_WAIT_S = 0.2

_LOG = logs.get_logger(__name__)


class ClusterState(prefix_follower.PrefixFollower):
    """Keeps the live processes and the ended batches from the store.

    Parameters
    ----------
    store : store.AsyncStore
        The store to follow.
    presence : presence.Presence
        The presence of this process, notified if its live key is lost.
    store_path : store_paths.FailoverPath
        Receives the peers that may relay calls to the store.
    neighbours : neighbours.Neighbours
        Receives the live entries.
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
        """The incarnation of each live VM."""
        return self._live.incarnations_by_vm

    @property
    def addresses_by_vm(self):
        """The address at which each live VM serves its peers."""
        return self._live.addresses_by_vm

    @property
    def domains_by_vm(self):
        """The failure domain of each live VM."""
        return {
            vm_id: live.failure_domain
            for vm_id, live in self._live.by_vm.items()
        }

    @property
    def live_by_vm(self):
        """The `live_keys.LiveKeyValue` of each live VM."""
        return self._live.by_vm

    def listen(self, callback):
        """Call ``callback(lost_vms, ended_batches)`` on each change.

        A VM is lost if its live key is gone or shows another incarnation.
        """
        self._listeners.append(callback)

    def listen_entries(self, callback):
        """Call ``callback()`` when the live entries may have changed."""
        self._entry_listeners.append(callback)

    def delegate_prefix(self, prefix, delegate):
        """Pass the keys under a longer prefix to `delegate` as well.

        The delegate's ``load`` and ``change`` are called as for a follower of
        its own, but it shares this follower's first read and watch.
        """
        self._delegates_by_prefix[prefix] = delegate

    async def read_incarnations(self):
        """Return the incarnation of each live VM as read from the store.

        The local copy may be older than other data that were just read.
        """
        snapshot = await self._store.get_prefix(live_keys.PREFIX)
        return live_keys.incarnations(
            live_keys.read_all(snapshot.entries_by_key)
        )

    def load(self, entries_by_key):
        """Replace the local copy by all current keys and values."""
        before = self.incarnations_by_vm
        self._live.load(entries_by_key)
        ended = {
            key.removeprefix(ENDED_PREFIX)
            for key in entries_by_key
            if key.startswith(ENDED_PREFIX)
        }
        lost = {
            vm_id
            for vm_id, incarnation in before.items()
            if self.incarnations_by_vm.get(vm_id) != incarnation
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
        """Apply one change to the local copy."""
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
        incarnations_before = self.incarnations_by_vm
        vm_id = self._live.change(change)
        before = incarnations_before.get(vm_id)
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
    """Follows which entries are live, for an agent.

    Parameters
    ----------
    store : store.AsyncStore
        Where the live keys are kept.
    on_change : callable
        Called with the `live_keys.LiveKeys` after each change.
    """

    def __init__(self, store, on_change):
        super().__init__(store, PREFIX)
        self._on_change = on_change
        self._live = live_keys.LiveKeys()
        self._has_waited = False

    async def _load(self, neighbour):
        """Read the live keys, and once more if no entry is live at the start.

        A watch would report the first entry too. By then, however, this agent
        would watch some prefixes at the store directly, until they change for
        the first time.
        """
        revision = await super()._load(neighbour)
        if self._live.by_vm or self._has_waited:
            return revision
        self._has_waited = True
        await asyncio.sleep(REGISTRATION_WAIT_S)
        return await super()._load(neighbour)

    def load(self, entries_by_key):
        """Replace the local copy by all current keys and values."""
        self._live.load(entries_by_key)
        self._on_change(self._live)

    def change(self, change):
        """Apply one change to the local copy."""
        if change.key.startswith(live_keys.PREFIX):
            self._live.change(change)
            self._on_change(self._live)
