"""The leader's level-triggered reconciliation of one service."""

import itertools
import math
import typing

from anvilwell_decisions.rollout import grants
from anvilwell_decisions.rollout import replicas
from anvilwell_kernel.messages import orders as messages

STATUS_PERIOD_S = 600.0
UNSETTLED_STATUS_PERIOD_S = 1.0
STATUS_TIMEOUT_S = 20.0
_ROUNDING = 1e-9


class Desired(typing.NamedTuple):
    """What the document in force wants."""

    version: str
    generation: int
    live_floor: float


class Progress(typing.NamedTuple):
    """How far the rollout is; counts of replicas.

    ``is_blocked`` says that the floor leaves no replica to swap.
    """

    total: int
    in_service: int
    at_version: int
    loaded: int
    failed: int
    unreachable: int
    is_blocked: bool


class Reconciler:
    """Compares what is wanted with what agents report, and orders.

    It keeps no plan: at each tick it looks at the newest reports, so a
    new leader, a lost order or an engine that fell back needs no case
    of its own. Nothing counts as in service before its agent reported
    under this leader's own fencing number; from then on the agent
    refuses orders of earlier leaders.

    Parameters
    ----------
    service : str
        The service's name.
    fencing : int
        The leader's fencing number.
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
        """Take what the document wants from now on."""
        self._desired = desired

    def load_ahead(self, version):
        """Have `version` loaded before any document wants it."""
        self._version_ahead = version

    def set_members(self, domains_by_id):
        """Take the replicas that there are, with their domains."""
        known = self._replicas_by_id
        self._replicas_by_id = {
            vm_id: known.get(vm_id) or replicas.Replica(vm_id, domain)
            for vm_id, domain in domains_by_id.items()
        }

    def report(self, report):
        """Take an agent's report."""
        replica = self._replicas_by_id.get(report.vm_id)
        if replica is None:
            return
        self._unanswered.discard(report.vm_id)
        was_waiting = replica.is_waiting
        is_accepted = replica.accept(report, self._fencing)
        if is_accepted and replica.is_waiting and not was_waiting:
            self._grants.slow_down()

    def mark_unreachable(self, vm_id):
        """Note that an agent gave no answer."""
        self._unanswered.discard(vm_id)
        if vm_id in self._replicas_by_id:
            self._replicas_by_id[vm_id].mark_unreachable()

    def tick(self, now):
        """Return the `messages.Order` to send now, as orders_by_id."""
        orders_by_id = self._status_orders(now)
        if self._desired:
            orders_by_id.update(self._load_orders(now))
            orders_by_id.update(self._activate_orders(now))
        return orders_by_id

    @property
    def is_settled(self):
        """Whether every replica has the version or gave it up."""
        return self._desired is not None and all(
            self._is_done(replica) for replica in self._replicas_by_id.values()
        )

    def progress(self):
        """Return the `Progress`."""
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
        """Return whether nothing can change without an order of ours."""
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
        """Return how many replicas may leave service now."""
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
