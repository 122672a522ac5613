"""Decides which orders the leader of a service sends to its agents."""

import itertools
import math
import typing

from anvilwell_decisions.rollout import grants
from anvilwell_decisions.rollout import replicas
from anvilwell_kernel.messages import orders as messages

# Time between status requests to a replica if the rollout is settled or only
# a new order can change the replica's state, and in all other cases.
STATUS_PERIOD_S = 600.0
UNSETTLED_STATUS_PERIOD_S = 1.0
# A status request without response is repeated only after this time.
STATUS_TIMEOUT_S = 20.0
# Keeps a product such as 100 * 0.55, which a rounding error lifts above
# 55, from being rounded up to the next replica.
_ROUNDING = 1e-9


class Desired(typing.NamedTuple):
    """The target state that the document in force describes.

    ``live_floor`` is the share of replicas that must stay in service.
    """

    version: str
    generation: int
    live_floor: float


class Progress(typing.NamedTuple):
    """The progress of a rollout, as numbers of replicas.

    ``is_blocked`` is true if no replica may be taken out of service to swap,
    because the number in service would fall below the floor.
    """

    total: int
    in_service: int
    at_version: int
    loaded: int
    failed: int
    unreachable: int
    is_blocked: bool


class Reconciler:
    """Compares the desired state with the agents' reports and issues orders.

    It keeps no plan: each tick starts from the latest reports. So a change
    of leader, a lost order or an engine that returned to an earlier version
    needs no special handling. A replica counts as in service only once its
    agent has reported under this leader's fencing number, since from then on
    the agent rejects the orders of earlier leaders.

    Parameters
    ----------
    service : str
        The service's name.
    fencing : int
        The leader's fencing number.
    load_grants : grants.LoadGrants, optional
        Limits the rate of loads; by default it has the default rate.
    """

    def __init__(self, service, fencing, load_grants=None):
        self._service = service
        self._fencing = fencing
        self._grants = load_grants or grants.LoadGrants()
        self._numbers = itertools.count(1)
        self._replicas_by_id = {}
        self._status_sent_at_by_id = {}
        self._unanswered = set()
        self._desired = None
        self._version_ahead = None

    def desire(self, desired):
        """Set the target state."""
        self._desired = desired

    def load_ahead(self, version):
        """Load `version` on all replicas before a document requires it."""
        self._version_ahead = version

    def set_members(self, domains_by_id):
        """Set the replicas of the service, given as failure domains by VM.

        Replicas that were members before keep their state.
        """
        known = self._replicas_by_id
        self._replicas_by_id = {
            vm_id: known.get(vm_id) or replicas.Replica(vm_id, domain)
            for vm_id, domain in domains_by_id.items()
        }

    def report(self, report):
        """Process an agent's report.

        A replica that has started to back off had a failed order, which
        reduces the rate of loads.
        """
        replica = self._replicas_by_id.get(report.vm_id)
        if replica is None:
            return
        self._unanswered.discard(report.vm_id)
        was_waiting = replica.is_waiting
        is_accepted = replica.accept(report, self._fencing)
        if is_accepted and replica.is_waiting and not was_waiting:
            self._grants.slow_down()

    def mark_unreachable(self, vm_id):
        """Record that an agent did not respond."""
        self._unanswered.discard(vm_id)
        if vm_id in self._replicas_by_id:
            self._replicas_by_id[vm_id].mark_unreachable()

    def tick(self, now):
        """Return the orders to send now, as `messages.Order` by VM."""
        orders_by_id = self._status_orders(now)
        if self._desired:
            orders_by_id.update(self._load_orders(now))
            orders_by_id.update(self._activate_orders(now))
        return orders_by_id

    @property
    def is_settled(self):
        """Whether every replica runs the version or has abandoned it."""
        return self._desired is not None and all(
            self._is_done(replica) for replica in self._replicas_by_id.values()
        )

    def progress(self):
        """Return the `Progress` towards the target state."""
        found = self._replicas_by_id.values()
        version, generation, _ = self._desired or Desired("", 0, 0.0)
        return Progress(
            total=len(found),
            in_service=sum(r.is_in_service for r in found),
            at_version=sum(r.has_version(version) for r in found),
            loaded=sum(r.has_loaded(version) for r in found),
            failed=sum(r.has_failed(version, generation) for r in found),
            unreachable=sum(r.report is None for r in found),
            is_blocked=bool(found) and self._swappable_count(len(found)) <= 0,
        )

    def _is_done(self, replica):
        version, generation, _ = self._desired
        is_there = replica.has_version(version) and replica.order is None
        return is_there or replica.has_failed(version, generation)

    def _status_orders(self, now):
        is_settled = self.is_settled
        due = [
            vm_id
            for vm_id in self._replicas_by_id
            if self._is_status_due(vm_id, now, is_settled)
        ]
        self._status_sent_at_by_id.update(dict.fromkeys(due, now))
        self._unanswered.update(due)
        return {
            vm_id: self._order(messages.Kind.STATUS, "", 0, 0) for vm_id in due
        }

    def _is_status_due(self, vm_id, now, is_settled):
        sent_at = self._status_sent_at_by_id.get(vm_id)
        if sent_at is None:
            return True
        if vm_id in self._unanswered and now - sent_at < STATUS_TIMEOUT_S:
            return False
        replica = self._replicas_by_id[vm_id]
        is_quiet = is_settled or self._is_idle(replica)
        period_s = STATUS_PERIOD_S if is_quiet else UNSETTLED_STATUS_PERIOD_S
        return now - sent_at >= period_s

    def _is_idle(self, replica):
        """Return whether only a new order can change the replica's state."""
        return (
            replica.report is not None
            and replica.order is None
            and replica.report.activity is messages.Activity.IDLE
        )

    def _load_orders(self, now):
        wanted = [(self._desired.version, self._desired.generation)]
        if (
            self._version_ahead
            and self._version_ahead != self._desired.version
        ):
            wanted.append((self._version_ahead, 0))
        loads = [
            (replica, version, generation)
            for version, generation in wanted
            for replica in self._replicas_by_id.values()
            if not replica.has_loaded(version)
            and replica.is_free(now)
            and not replica.has_failed(version, generation)
        ]
        domains = {replica.failure_domain for replica, _, _ in loads}
        self._grants.fill(domains, now)
        orders_by_id = {}
        for replica, version, generation in loads:
            if replica.vm_id in orders_by_id:
                continue
            if self._grants.take(replica.failure_domain):
                orders_by_id[replica.vm_id] = self._issue_order(
                    replica, messages.Kind.LOAD, version, generation, now
                )
        return orders_by_id

    def _activate_orders(self, now):
        version, generation, _ = self._desired
        ready = [
            replica
            for replica in self._replicas_by_id.values()
            if not replica.has_version(version)
            and replica.has_loaded(version)
            and replica.is_free(now)
            and not replica.has_failed(version, generation)
        ]
        if not ready:
            return {}
        out_of_service = [r for r in ready if not r.is_in_service]
        in_service = [r for r in ready if r.is_in_service]
        swappable = max(self._swappable_count(len(self._replicas_by_id)), 0)
        return {
            replica.vm_id: self._issue_order(
                replica, messages.Kind.ACTIVATE, version, generation, now
            )
            for replica in itertools.chain(
                out_of_service, in_service[:swappable]
            )
        }

    def _swappable_count(self, total):
        """Return how many replicas may be taken out of service now.

        The result is negative if too few replicas are in service already.
        """
        floor = self._desired.live_floor if self._desired else 1.0
        in_service = sum(
            r.is_in_service for r in self._replicas_by_id.values()
        )
        return in_service - math.ceil(total * floor - _ROUNDING)

    def _issue_order(self, replica, kind, version, generation, now):
        number = next(self._numbers)
        order = self._order(kind, version, generation, number)
        replica.record_order(order, now)
        return order

    def _order(self, kind, version, generation, number):
        return messages.Order(
            self._service, kind, version, generation, self._fencing, number
        )
