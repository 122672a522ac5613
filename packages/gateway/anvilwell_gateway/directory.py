"""The replicas that may receive work, from their registrations."""

import asyncio
import itertools
import typing

from anvilwell_gateway import evacuations as evacuation_states
from anvilwell_gateway import measures
from anvilwell_gateway import prefix_follower
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import logs

# How long after an outage of the store lapsed registrations may return, in
# seconds. If their replica is running, they are back about two seconds after
# the outage. If it is not, its work must stop within the same two seconds, so
# this limit is a little shorter.
LAPSE_GRACE_S = 1.7
# Changes that arrive within this time are fetched with one call, in seconds. A
# replica that leaves may thus receive work for two more seconds; agents report
# new versions directly. It is shorter than `freshness.MAX_AGE_S`, so that the
# next watch can be confirmed before the copy expires.
COALESCE_S = 1.0
# How long an engine is treated as loading if its agent sends no further
# notice, in seconds: three times the duration of a load.
MAX_LOAD_S = 3.0

# How long a replica is excluded if another one answers at its address, in
# seconds. The excluded replica has ended. Its registration lapses within three
# heartbeats, about four seconds; without the exclusion, each call and each
# item would be sent to that address again.
EXCLUSION_S = 5.0

_LOG = logs.get_logger(__name__)


class _ReceivedNotice(typing.NamedTuple):
    """A `notices.Notice` and the time of its arrival."""

    notice: typing.Any
    received_at: float


class DirectoryChange(typing.NamedTuple):
    """The ids of the replicas that a change affects.

    If ``is_membership`` is true, some of them were added, removed or became
    unusable. Otherwise only their versions or loads changed.
    """

    replica_ids: frozenset[str]
    is_membership: bool


class Directory(prefix_follower.PrefixFollower):
    """Keeps the registered replicas by id and reports their changes.

    Parameters
    ----------
    store : store.AsyncStore
        The store to follow.
    codec : store_codec.StoreCodec
        Decodes registrations.
    evacuations : evacuations.Evacuations, optional
        Says which failure domains may be sent requests; by default all.
    """

    coalesce_s = COALESCE_S

    def __init__(self, store, codec, evacuations=None):
        super().__init__(store, codec.replicas_prefix)
        self._evacuations = evacuations or evacuation_states.NoEvacuations()
        self._evacuations.listen(self._evacuations_changed)
        self._codec = codec
        self._listeners = []
        self._regained_at = float("-inf")
        self._forget_timer_by_key = {}
        self._notices_by_id = {}
        self._load_expiry_by_id = {}
        self._ids_by_key = {}
        self._ids_by_address = {}
        self._unreadable = set()
        self._readmission_by_id = {}
        self._usable_by_id = {}
        self._usable_by_service = {}
        self._changed_ids = set()
        self._is_membership = False
        self.replicas_by_id = {}

    def listen(self, callback):
        """Call ``callback(changed)``, a `DirectoryChange`, on each change."""
        self._listeners.append(callback)

    def usable(self, service=None):
        """Return the replicas that may receive new work."""
        if service is not None:
            return list(self._usable_by_service.get(service, {}).values())
        return list(
            itertools.chain.from_iterable(
                usable_by_id.values()
                for usable_by_id in self._usable_by_service.values()
            )
        )

    def find_usable(self, replica_id):
        """Return a replica if it may receive new work, or None."""
        return self._usable_by_id.get(replica_id)

    def may_receive(self, replica):
        """Return whether a request may be sent to a chosen replica now.

        Its failure domain may have been evacuated since it was chosen.
        """
        return self._evacuations.allows(replica.failure_domain)

    def is_evacuated(self, service):
        """Return whether evacuations leave a service without replicas."""
        if not self._evacuations.evacuated or self.usable(service):
            return False
        return any(
            replica.service == service and not self.may_receive(replica)
            for replica in self.replicas_by_id.values()
        )

    def _evacuations_changed(self, domains):
        """Update the replicas in some failure domains, or all for None."""
        for replica_id, replica in self.replicas_by_id.items():
            if domains is None or replica.failure_domain in domains:
                self._refresh(replica_id, is_membership=True)
        self._notify()

    def is_present(self, replica_id):
        """Return whether a replica is registered and not known to be gone."""
        known = replica_id in self.replicas_by_id
        return known and replica_id not in self._readmission_by_id

    def exclude(self, replica_id):
        """Give no work to a replica for now.

        Used when another replica answers at its address.
        """
        if replica_id not in self.replicas_by_id:
            return
        self._cancel_readmission(replica_id)
        _LOG.log("replica-set-aside", replica_id=replica_id)
        self._readmission_by_id[replica_id] = (
            asyncio.get_running_loop().call_later(
                EXCLUSION_S, self._readmit, replica_id
            )
        )
        self._refresh(replica_id, is_membership=True)
        self._notify()

    def _readmit(self, replica_id):
        """Use an excluded replica again, which is still registered."""
        self._cancel_readmission(replica_id)
        self._refresh(replica_id, is_membership=True)
        self._notify()

    def _cancel_readmission(self, replica_id):
        timer = self._readmission_by_id.pop(replica_id, None)
        if timer:
            timer.cancel()

    def apply_notice(self, notice):
        """Apply what an agent reported of its engine."""
        replica_id = self._id_at(notice)
        if replica_id is None:
            return
        now = asyncio.get_running_loop().time()
        self._notices_by_id[replica_id] = _ReceivedNotice(notice, now)
        self._mark_loading(replica_id, notice.loading)
        _LOG.routine(
            "engine-noted",
            replica_id=replica_id,
            versions=dict(notice.versions),
            loading=list(notice.loading),
        )
        self._refresh(replica_id)
        self._notify()

    def service_at(self, address):
        """Return the service of the replica at an address, or None."""
        ids = self._ids_by_address.get(address, ())
        services = (self.replicas_by_id[one].service for one in ids)
        return next(services, None)

    def _mark_loading(self, replica_id, loading):
        """Treat a replica as loading until a later notice or a timeout."""
        self._cancel_load_expiry(replica_id)
        if loading:
            loop = asyncio.get_running_loop()
            self._load_expiry_by_id[replica_id] = loop.call_later(
                MAX_LOAD_S, self._expire_load, replica_id
            )

    def _expire_load(self, replica_id):
        self._cancel_load_expiry(replica_id)
        self._refresh(replica_id)
        self._notify()

    def _cancel_load_expiry(self, replica_id):
        timer = self._load_expiry_by_id.pop(replica_id, None)
        if timer:
            timer.cancel()

    def last_notice_at(self, address):
        """Return when the agent at an address sent a notice, -inf if never."""
        times = (
            self._notices_by_id[replica_id].received_at
            for replica_id in self._ids_by_address.get(address, ())
            if replica_id in self._notices_by_id
        )
        return max(times, default=float("-inf"))

    def _id_at(self, notice):
        """Return the id of the replica that a notice concerns, or None.

        A notice of an earlier or later incarnation than the registered one
        concerns no known replica.
        """
        replicas = (
            self.replicas_by_id[replica_id]
            for replica_id in self._ids_by_address.get(notice.address, ())
        )
        ids = (
            replica.replica_id
            for replica in replicas
            if not (replica.started_ms and notice.started_ms)
            or replica.started_ms == notice.started_ms
        )
        return next(ids, None)

    def _with_notice(self, replica):
        """Return `replica` with what its agent reported."""
        received = self._notices_by_id.get(replica.replica_id)
        if received is None:
            return replica
        is_loading = replica.replica_id in self._load_expiry_by_id
        return replica._replace(
            versions=(*replica.versions, *received.notice.versions),
            loading=received.notice.loading if is_loading else (),
        )

    def _refresh(self, replica_id, is_membership=False):
        """Update the indexes of usable replicas for one replica."""
        replica = self.replicas_by_id.get(replica_id)
        is_usable = (
            replica is not None
            and not replica.is_draining
            and replica_id not in self._readmission_by_id
            and self.may_receive(replica)
        )
        before = self._usable_by_id.pop(replica_id, None)
        now = self._with_notice(replica) if is_usable else None
        if before and (now is None or now.service != before.service):
            del self._usable_by_service[before.service][replica_id]
            is_membership = True
        if now:
            self._usable_by_id[replica_id] = now
            same = self._usable_by_service.setdefault(now.service, {})
            is_membership |= replica_id not in same
            same[replica_id] = now
        self._changed_ids.add(replica_id)
        self._is_membership |= is_membership

    def gauge_values(self):
        """Return the number of usable replicas of each service."""
        return [
            measures.GaugeValue("replicas", len(usable_by_id), service)
            for service, usable_by_id in self._usable_by_service.items()
            if usable_by_id
        ]

    def load(self, entries_by_key):
        """Apply all registrations; after an outage, lost ones may return."""
        for key in set(self._ids_by_key) - set(entries_by_key):
            self._remove(key)
        for entry in entries_by_key.values():
            self._apply(entry.key, entry.value)
        self._notify()

    def change(self, change):
        """Apply the change of one registration."""
        if change.value is None:
            self._remove(change.key)
        else:
            self._apply(change.key, change.value)
        self._notify()

    def regained(self):
        """Give registrations that lapsed in the outage time to return."""
        self._regained_at = asyncio.get_running_loop().time()

    def _apply(self, key, value):
        """Apply the value of a registration.

        It may hold the known replica, a new incarnation, or nothing readable.
        """
        replica = read(self._codec, key, value, self._unreadable)
        known_id = self._ids_by_key.get(key)
        if known_id and (replica is None or known_id != replica.replica_id):
            if replica is not None:
                _LOG.log(
                    "replica-restarted",
                    before=known_id,
                    now=replica.replica_id,
                )
            self._forget(key)
        if replica is None:
            return
        self._cancel_forget_timer(key)
        if self.replicas_by_id.get(replica.replica_id) != replica:
            _LOG.routine("replica-known", **_log_fields(replica))
        self._ids_by_key[key] = replica.replica_id
        before = self.replicas_by_id.get(replica.replica_id)
        is_other = before is None or before.address != replica.address
        self._remove_address(replica.replica_id)
        self.replicas_by_id[replica.replica_id] = replica
        ids = self._ids_by_address.setdefault(str(replica.address), {})
        ids[replica.replica_id] = None
        self._refresh(replica.replica_id, is_membership=is_other)

    def _remove_address(self, replica_id):
        """Remove a replica from the index by address."""
        replica = self.replicas_by_id.get(replica_id)
        if replica is None:
            return
        address = str(replica.address)
        ids = self._ids_by_address[address]
        del ids[replica_id]
        if not ids:
            del self._ids_by_address[address]

    def _remove(self, key):
        self._unreadable.discard(key)
        loop = asyncio.get_running_loop()
        wait_s = self._regained_at + LAPSE_GRACE_S - loop.time()
        if wait_s <= 0:
            self._forget(key)
        elif key in self._ids_by_key and key not in self._forget_timer_by_key:
            self._forget_timer_by_key[key] = loop.call_later(
                wait_s, self._forget_lapsed, key
            )

    def _cancel_forget_timer(self, key):
        timer = self._forget_timer_by_key.pop(key, None)
        if timer:
            timer.cancel()

    def _forget_lapsed(self, key):
        self._forget(key)
        self._notify()

    def _forget(self, key):
        self._cancel_forget_timer(key)
        replica_id = self._ids_by_key.pop(key, None)
        self._notices_by_id.pop(replica_id, None)
        self._cancel_load_expiry(replica_id)
        self._cancel_readmission(replica_id)
        self._remove_address(replica_id)
        if self.replicas_by_id.pop(replica_id, None) is not None:
            self._refresh(replica_id, is_membership=True)
            _LOG.log("replica-gone", replica_id=replica_id)

    def _notify(self):
        changed = DirectoryChange(
            frozenset(self._changed_ids), self._is_membership
        )
        self._changed_ids.clear()
        self._is_membership = False
        for callback in self._listeners:
            callback(changed)


def read(codec, key, value, unreadable):
    """Return the replica in a registration, None if it can't be decoded.

    ``unreadable`` holds the keys of such registrations, so that one that is
    written repeatedly is logged only once.
    """
    try:
        replica = codec.read_replica(key, value)
    except exceptions.ConfigurationError as error:
        counters.count_unreadable("replica")
        if key not in unreadable:
            unreadable.add(key)
            _LOG.log("replica-unreadable", key=key, cause=error.message)
        return None
    unreadable.discard(key)
    return replica


def _log_fields(replica):
    return {
        "replica_id": replica.replica_id,
        "service": replica.service,
        "address": str(replica.address),
        "is_draining": replica.is_draining,
        "versions": dict(replica.versions),
    }
