"""The agent's side: when a request may go to its backend server."""

import collections
import heapq
import math
import typing

from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import limits
from anvilwell_kernel import reasons

_SMOOTHING = 0.1
_BURST_DEVIATIONS = 2.0
_MIN_RETRY_AFTER_S = 0.1


class Ticket(typing.NamedTuple):
    """One request that asks for admission.

    ``deadline`` is monotonic time in seconds; ``work`` is the expected
    work, such as tokens, or 0 if it is not known.
    """

    ticket_id: str
    priority: facts.Priority
    deadline: float
    work: float = 0.0


class Admit(typing.NamedTuple):
    """The request goes to the backend server now."""

    ticket_id: str


class Queue(typing.NamedTuple):
    """The request waits; ``position`` counts from 0 in its class."""

    ticket_id: str
    position: int


class Refuse(typing.NamedTuple):
    """The request was not run; ``retry_after_s`` says when to return."""

    ticket_id: str
    reason: reasons.Refusal
    retry_after_s: float


class AdmissionSettings(typing.NamedTuple):
    """Settings of admission.

    ``live_reserve`` is the largest share of the limit that training
    leaves free, beside what live itself has. ``max_queue`` bounds the
    queue of each class.
    """

    max_queue: int = 64
    live_reserve: float = 0.2
    bounds: limits.LimitBounds = limits.LimitBounds()


class Admission:
    """Admits live before training, within a learned limit.

    Every method that frees room returns the actions that follow, in
    order: `Admit` and `Refuse` for tickets that were queued.
    """

    def __init__(self, settings=None):
        self._settings = settings or AdmissionSettings()
        self._limit = limits.AdaptiveLimit(self._settings.bounds)
        self._running_by_id = {}
        self._queued_by_priority = {
            priority: collections.OrderedDict() for priority in facts.Priority
        }
        self._expiries = []
        self._live_running = 0
        self._mean_service_s = None
        self._mean_service_s_by_priority = {}
        self._s_per_work_unit = None
        self._is_draining = False

    @property
    def limit(self):
        """The present concurrency limit."""
        return self._limit.limit

    @property
    def in_flight(self):
        """Requests at the backend server."""
        return len(self._running_by_id)

    @property
    def queued(self):
        """Requests that wait, of both classes."""
        return sum(len(q) for q in self._queued_by_priority.values())

    @property
    def settings(self):
        """The `AdmissionSettings` in force."""
        return self._settings

    def configure(self, settings):
        """Take new settings; what is learned and what runs stays."""
        self._settings = settings

    def offer(self, ticket, now):
        """Return `Admit`, `Queue` or `Refuse` for a new ticket."""
        queue = self._queued_by_priority[ticket.priority]
        if self._is_draining:
            return self._refusal(ticket, reasons.Refusal.DRAINING)
        if not self._can_meet_deadline(
            ticket, now, self._wait_s(ticket.priority)
        ):
            return self._refusal(ticket, reasons.Refusal.DEADLINE)
        if not queue and self._has_capacity(ticket.priority):
            return self._admit(ticket)
        if len(queue) >= self._settings.max_queue:
            return self._refusal(ticket, reasons.Refusal.QUEUE_FULL)
        queue[ticket.ticket_id] = ticket
        latest = ticket.deadline - self._expected_s(ticket)
        heapq.heappush(
            self._expiries, (latest, ticket.ticket_id, ticket.priority)
        )
        return Queue(ticket.ticket_id, len(queue) - 1)

    def finished(self, ticket_id, now, latency_s, work=0.0):
        """Take the whole end of an admitted request; return actions.

        Parameters
        ----------
        ticket_id : str
            An admitted ticket; another is ignored.
        now : float
            Monotonic time, in seconds.
        latency_s : float
            From admission to the end, in seconds.
        work : float
            Work that was done, such as tokens; 0 if it is not known.
        """
        ticket = self._running_by_id.get(ticket_id)
        if ticket is None:
            return []
        work_done = work or ticket.work or 1.0
        demand = self.in_flight + self.queued
        self._limit.observe(latency_s, work_done, demand)
        self._mean_service_s = _smooth(self._mean_service_s, latency_s)
        means_by_priority = self._mean_service_s_by_priority
        means_by_priority[ticket.priority] = _smooth(
            means_by_priority.get(ticket.priority), latency_s
        )
        self._s_per_work_unit = _smooth(
            self._s_per_work_unit, latency_s / work_done
        )
        return self._release(ticket, now)

    def failed(self, ticket_id, now):
        """Take an end that teaches nothing of latency; return actions."""
        ticket = self._running_by_id.get(ticket_id)
        return [] if ticket is None else self._release(ticket, now)

    def record_server_load(self, running, waiting):
        """Take the backend server's own late report of its load."""
        if waiting:
            self._limit.record_saturation(running)

    def cancel(self, ticket_id, now):
        """Withdraw a ticket, queued or admitted; return actions."""
        for queue in self._queued_by_priority.values():
            if queue.pop(ticket_id, None):
                return self._admit_queued(now)
        return self.failed(ticket_id, now)

    def expire(self, now):
        """Refuse what can no longer meet its deadline; return actions."""
        refused = []
        while self._expiries and self._expiries[0][0] < now:
            _, ticket_id, priority = heapq.heappop(self._expiries)
            ticket = self._queued_by_priority[priority].pop(ticket_id, None)
            if ticket:
                refused.append(self._refusal(ticket, reasons.Refusal.DEADLINE))
        return [*refused, *self._admit_queued(now)] if refused else []

    def drain(self):
        """Take no more; refuse all that waits, so that it goes elsewhere."""
        self._is_draining = True
        refused = [
            self._refusal(ticket, reasons.Refusal.DRAINING)
            for queue in self._queued_by_priority.values()
            for ticket in queue.values()
        ]
        for queue in self._queued_by_priority.values():
            queue.clear()
        self._expiries.clear()
        return refused

    def _has_capacity(self, priority):
        if self.in_flight >= self.limit:
            return False
        if priority is facts.Priority.LIVE:
            return True
        if self._queued_by_priority[facts.Priority.LIVE]:
            return False
        return self.in_flight < max(1, self.limit - self._live_headroom())

    def _live_headroom(self):
        """Return how many places training leaves free for live.

        Live that arrives at random varies by the root of its mean; a
        few times that is enough, and never more than the reserve.
        """
        live = max(1, self._live_running)
        reserved = self.limit * self._settings.live_reserve
        return math.ceil(min(reserved, _BURST_DEVIATIONS * math.sqrt(live)))

    def _admit(self, ticket):
        self._running_by_id[ticket.ticket_id] = ticket
        self._live_running += ticket.priority is facts.Priority.LIVE
        return Admit(ticket.ticket_id)

    def _release(self, ticket, now):
        del self._running_by_id[ticket.ticket_id]
        self._live_running -= ticket.priority is facts.Priority.LIVE
        return self._admit_queued(now)

    def _admit_queued(self, now):
        """Admit what there is room for, live first."""
        actions = []
        for priority in (facts.Priority.LIVE, facts.Priority.TRAINING):
            queue = self._queued_by_priority[priority]
            while queue and self._has_capacity(priority):
                _, ticket = queue.popitem(last=False)
                actions.append(self._admit_or_refuse(ticket, now))
        return actions

    def _admit_or_refuse(self, ticket, now):
        if self._can_meet_deadline(ticket, now, 0.0):
            return self._admit(ticket)
        return self._refusal(ticket, reasons.Refusal.DEADLINE)

    def _can_meet_deadline(self, ticket, now, wait_s):
        return now + wait_s + self._expected_s(ticket) <= ticket.deadline

    def _expected_s(self, ticket):
        if ticket.work and self._s_per_work_unit is not None:
            return ticket.work * self._s_per_work_unit
        return self._mean_service_s_by_priority.get(ticket.priority, 0.0)

    def _wait_s(self, priority):
        """Estimate how long a new ticket of a class would wait."""
        if self._has_capacity(priority) and not self._queued_ahead(priority):
            return 0.0
        rounds = (self._queued_ahead(priority) + 1) / self.limit
        return rounds * (self._mean_service_s or 0.0)

    def _queued_ahead(self, priority):
        live = len(self._queued_by_priority[facts.Priority.LIVE])
        if priority is facts.Priority.LIVE:
            return live
        return live + len(self._queued_by_priority[priority])

    def _refusal(self, ticket, reason):
        retry_after_s = max(_MIN_RETRY_AFTER_S, self._wait_s(ticket.priority))
        return Refuse(ticket.ticket_id, reason, retry_after_s)


def _smooth(mean, value):
    if mean is None:
        return value
    return mean + _SMOOTHING * (value - mean)
