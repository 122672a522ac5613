"""Limits what this entry sends to replicas that are or may become cold.

Joins the decisions on cold replicas with what this entry knows of replicas,
other entries, its own lease, and the homes of each service.
"""

import asyncio
import collections
import contextlib
import functools
import itertools
import typing

from anvilwell_decisions.requests import cold_allowances
from anvilwell_decisions.requests import cold_states
from anvilwell_decisions.requests import send_windows
from anvilwell_gateway.batches import homes as all_homes
from anvilwell_gateway.http import client
from anvilwell_gateway import measures
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import logs
from anvilwell_kernel import verdict as verdicts

# Interval at which the homes of a service are computed anew, in seconds.
HOMES_INTERVAL_S = 0.1

_LOG = logs.get_logger(__name__)


class _Service:
    """A service whose replicas may be cold.

    ``keys`` are the gathering keys of the batch routes to it, whose homes
    send items to its replicas.
    """

    def __init__(self, vm_id):
        self.shares = cold_allowances.Shares(0, 0)
        self.keys = ()
        self.ownership = cold_allowances.Ownership(vm_id)
        self.states = cold_states.ColdStates()
        self.other_shares_by_id = {}
        self.homes_updated_at = float("-inf")


class ColdReplicas:
    """Says whether a replica may be sent one more request now.

    Parameters
    ----------
    settings : config.ColdReplicasSection
        The limit, relative to the rate of a service.
    vm_id : str
        This VM.
    configuration : configuration.ConfigurationFollower
        The services and routes in force.
    directory : directory.Directory
        The replicas.
    cluster_state : cluster_state.ClusterState
        The other entries.
    presence : presence.Presence
        The lease of this entry.
    """

    def __init__(
        self,
        settings,
        vm_id,
        configuration,
        directory,
        cluster_state,
        presence,
    ):
        self._settings = settings
        self._vm_id = vm_id
        self._configuration = configuration
        self._directory = directory
        self._cluster_state = cluster_state
        self._presence = presence
        self._clock = asyncio.get_running_loop().time
        self._services_by_name = {}
        self._sends_by_id = {}
        self._windows_by_name = collections.defaultdict(
            send_windows.SendWindow
        )
        # The registration of each replica that was applied last.
        self._registrations_by_id = {}
        self._entries_known_since = float("inf")
        # Callables set by the parts for batches: the homes of a gathering
        # key, the failure domains to which some of them are limited, and the
        # slots of a replica that are lent to this entry.
        self.homes_of = _no_homes
        self.domains_by_home_of = _no_limits
        self.borrowed_slots = _no_slots
        configuration.listen(self._configuration_changed)
        directory.listen(self._replicas_changed)
        cluster_state.listen_entries(self._entries_changed)

    def sends(self, replica):
        """Return the `send_windows.ReplicaSends`, None if not limited."""
        if replica.service not in self._services_by_name:
            return None
        replica_id = replica.replica_id
        known = self._sends_by_id.get(replica_id)
        if known is None:
            name = replica.name or replica_id
            known = self._sends_by_id[replica_id] = send_windows.ReplicaSends(
                self._windows_by_name[name],
                functools.partial(self._allowance, replica),
                functools.partial(self._is_cold, replica.service, replica_id),
                functools.partial(measures.count_cold_limit, replica.service),
            )
        return known

    def exclusions(self, service, tried):
        """Yield the sets of replicas to exclude from a choice, in turn.

        Parameters
        ----------
        service : str
            The service.
        tried : frozenset of str
            The replicas that the request was sent to.
        """
        if service not in self._services_by_name:
            yield tried
            return
        now = self._clock()
        sends_by_id = self._usable_sends(service)
        full = {
            replica_id
            for replica_id, sends in sends_by_id.items()
            if not sends.may_send(now)
        }
        cold = {
            replica_id
            for replica_id, sends in sends_by_id.items()
            if sends.is_cold
        }
        yield tried.union(full, cold)
        yield tried.union(full)

    def wait_s(self, service):
        """Return when a replica of a service may be sent a request.

        Returns
        -------
        float or None
            The wait in seconds, None if no replica is at its limit.
        """
        if service not in self._services_by_name:
            return None
        now = self._clock()
        all_sends = self._usable_sends(service).values()
        waits_s = [sends.wait_s(now) for sends in all_sends]
        wait_s = min(waits_s, default=0.0)
        return min(wait_s, send_windows.WINDOW_S) or None

    def _usable_sends(self, service):
        return {
            replica.replica_id: self.sends(replica)
            for replica in self._directory.usable(service)
        }

    @contextlib.contextmanager
    def permit(self, replica):
        """Hold a permit to send one request to a replica.

        Yields
        ------
        Permit or None
            None if the replica has no limit.

        Raises
        ------
        exceptions.BackendFailed
            If the replica may not be sent a request now.
        """
        sends = self.sends(replica)
        if sends is None:
            yield None
            return
        if not sends.may_send(self._clock()):
            raise _limit_error()
        permit = Permit(sends.reserve(), self._clock)
        try:
            yield permit
        finally:
            permit.close()

    def gauge_values(self):
        """Return the number of cold replicas of each service with a limit."""
        return [
            measures.GaugeValue(
                "cold_replicas", len(service.states.cold_ids), name
            )
            for name, service in self._services_by_name.items()
        ]

    def _is_cold(self, service, replica_id):
        known = self._services_by_name.get(service)
        return known is not None and known.states.is_cold(replica_id)

    def _allowance(self, replica, now):
        """Return how many requests this entry may send in any window."""
        known = self._services_by_name.get(replica.service)
        if known is None:
            return 0
        if now - known.homes_updated_at >= HOMES_INTERVAL_S:
            self._update_homes(replica.service, now)
        owned_since = None
        if known.shares.owner:
            owned_since = known.ownership.owned_since(
                replica.replica_id, replica.failure_domain
            )
        return cold_allowances.allowance(
            known.shares,
            cold_allowances.Sender(
                owned_since,
                max(0.0, now - self._presence.session.deadline),
                max(self._entries_known_since, self._presence.lapsed_at),
                self.borrowed_slots(replica, now),
                self._other_share(known, replica),
            ),
            known.states.is_cold(replica.replica_id),
            now,
        )

    def _other_share(self, service, replica):
        """Return this entry's allowance for a replica that it doesn't own."""
        replica_id = replica.replica_id
        if replica_id not in service.other_shares_by_id:
            owner = None
            if service.shares.owner:
                owner = service.ownership.owner(
                    replica_id, replica.failure_domain
                )
            vm_ids = [
                vm_id
                for vm_id in self._cluster_state.live_by_vm
                if vm_id != owner
            ]
            service.other_shares_by_id[replica_id] = (
                cold_allowances.other_share(
                    self._vm_id, replica_id, vm_ids, service.shares.others
                )
            )
        return service.other_shares_by_id[replica_id]

    def _update_homes(self, name, now):
        service = self._services_by_name[name]
        service.homes_updated_at = now
        homes = itertools.chain.from_iterable(map(self.homes_of, service.keys))
        domains_by_home = {
            home: domains
            for key in service.keys
            for home, domains in self.domains_by_home_of(key).items()
        }
        if service.ownership.set_homes(
            tuple(dict.fromkeys(homes)), now, domains_by_home
        ):
            service.other_shares_by_id.clear()

    def _entries_changed(self):
        """Follow a change of the entries, which may change the homes."""
        now = self._clock()
        if self._cluster_state.live_by_vm:
            self._entries_known_since = min(self._entries_known_since, now)
        for name, service in self._services_by_name.items():
            service.other_shares_by_id.clear()
            self._update_homes(name, now)

    def _configuration_changed(self):
        """Find the services whose replicas may be cold."""
        current = self._configuration.current
        limited = {
            name: service
            for name, service in current.services_by_name.items()
            if service.cold_rate > 0
        }
        for name in set(self._services_by_name) - set(limited):
            del self._services_by_name[name]
        for name, service in limited.items():
            is_new = name not in self._services_by_name
            known = self._services_by_name.setdefault(
                name, _Service(self._vm_id)
            )
            self._set_routes(known, service, current.routes)
            self._update_homes(name, self._clock())
            for replica in self._directory.usable(name) if is_new else ():
                self._registrations_by_id.pop(replica.replica_id, None)
                self._apply(replica.replica_id)

    def _set_routes(self, known, service, routes):
        """Divide a service's limit according to the routes to it."""
        routes_here = [
            route
            for route in routes
            if any(target.service == service.name for target in route.targets)
        ]
        known.keys = tuple(
            sorted(
                {
                    all_homes.gathering_key(route)
                    for route in routes_here
                    if route.is_batch
                }
            )
        )
        known.shares = cold_allowances.Shares.from_limit(
            cold_allowances.request_limit(
                service.cold_rate,
                self._settings.rate_factor,
                self._settings.extra_requests,
            ),
            has_items=bool(known.keys),
            has_live_calls=any(not route.is_batch for route in routes_here),
        )
        known.other_shares_by_id.clear()

    def _replicas_changed(self, changed):
        if self._services_by_name:
            for replica_id in changed.replica_ids:
                self._apply(replica_id)

    def _apply(self, replica_id):
        """Apply a registration that was read, or the end of one.

        Each registration that is read is a new object; notices of agents
        leave it unchanged.
        """
        replica = self._directory.replicas_by_id.get(replica_id)
        if replica is None or not self._directory.find_usable(replica_id):
            self._forget(replica_id)
            return
        service = self._services_by_name.get(replica.service)
        is_known = self._registrations_by_id.get(replica_id) is replica
        if service is None or is_known:
            return
        self._registrations_by_id[replica_id] = replica
        states = service.states
        if not states.registered(replica_id, replica.cold_s, self._clock()):
            return
        fields = {
            "replica_id": replica_id,
            "service": replica.service,
            "cold_s": replica.cold_s,
        }
        if states.is_cold(replica_id):
            _LOG.log("replica-cold", **fields)
        else:
            _LOG.log("replica-warm", **fields)

    def _forget(self, replica_id):
        registration = self._registrations_by_id.pop(replica_id, None)
        if registration is None:
            return
        self._sends_by_id.pop(replica_id, None)
        self._remove_unused_windows()
        service = self._services_by_name.get(registration.service)
        if service is not None:
            service.states.gone(replica_id)
            service.ownership.forget(replica_id, registration.failure_domain)
            service.other_shares_by_id.pop(replica_id, None)

    def _remove_unused_windows(self):
        """Remove empty windows, except those of replicas that are known.

        A replica that is gone and returns has to find the window that its
        requests were recorded in.
        """
        now = self._clock()
        kept = {id(sends.window) for sends in self._sends_by_id.values()}
        for name, window in tuple(self._windows_by_name.items()):
            if id(window) not in kept and not window.used(now):
                del self._windows_by_name[name]


class Permit(typing.NamedTuple):
    """The right to send a request, on the clock of this entry."""

    permit: send_windows.Permit
    clock: typing.Callable[[], float]

    def use(self):
        """Record that the request is written now.

        Raises
        ------
        exceptions.BackendFailed
            If it may not be sent any more.
        """
        if not self.permit.use(self.clock()):
            raise _limit_error()

    def close(self):
        """Return the permit if the request was not written."""
        self.permit.close()


def _limit_error():
    return client.call_error(
        "the replica may be cold and has been sent as many requests as it may",
        reasons.Refusal.COLD_LIMIT,
        verdicts.Verdict.NOT_RUN,
    )


def _no_homes(key):
    return ()


def _no_limits(key):
    return {}


def _no_slots(replica, now):
    return 0
