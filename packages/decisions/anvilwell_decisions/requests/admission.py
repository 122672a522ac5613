"""Admission control of an agent: which requests its backend server runs."""

import collections
import heapq
import math
import typing

from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import limits
from anvilwell_kernel import reasons

# Weight of the newest request in the moving averages of latency.
_SMOOTHING = 0.1
# Size of the bursts of live requests for which training requests leave slots
# free, in standard deviations of the number of live requests in flight.
_BURST_DEVIATIONS = 2.0
_MIN_RETRY_AFTER_S = 0.1


class Ticket(typing.NamedTuple):
    """A request that waits to be admitted.

    ``deadline`` is monotonic time in seconds. ``work`` is the expected amount
    of work, such as tokens, or 0 if it is unknown.
    """

    ticket_id: str
    priority: facts.Priority
    deadline: float
    work: float = 0.0


class Admit(typing.NamedTuple):
    """The request is sent to the backend server now."""

    ticket_id: str


class Queue(typing.NamedTuple):
    """The request waits; ``position`` in its class's queue starts at 0."""

    ticket_id: str
    position: int


class Refuse(typing.NamedTuple):
    """The request was not run; it may be retried in ``retry_after_s``."""

    ticket_id: str
    reason: reasons.Refusal
    retry_after_s: float


class AdmissionSettings(typing.NamedTuple):
    """Settings of `Admission`.

    ``max_queue`` is the maximum length of the queue of each priority class.
    ``live_reserve`` is the largest share of the concurrency limit that
    training requests leave free for live requests, in addition to what
    running live requests use.
    """

    max_queue: int = 64
    live_reserve: float = 0.2
    bounds: limits.LimitBounds = limits.LimitBounds()


class Admission:
    """Admits live requests before training, within an adaptive limit.

    Methods that free capacity return the resulting actions in order: `Admit`
    or `Refuse` for each queued ticket that they concern.
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
        """The current concurrency limit."""
        return self._limit.limit

    @property
    def in_flight(self):
        """The number of requests at the backend server."""
        return len(self._running_by_id)

    @property
    def queued(self):
        """The number of queued requests of both classes."""
        return sum(len(q) for q in self._queued_by_priority.values())

    @property
    def settings(self):
        """The current `AdmissionSettings`."""
        return self._settings

    def configure(self, settings):
        """Replace the settings of admission.

        Running and queued requests, the learned limit and the latency
        estimates are kept.
        """
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
        """Record a completed request; return the resulting actions.

        Parameters
        ----------
        ticket_id : str
            An admitted ticket; others are ignored.
        now : float
            Monotonic time, in seconds.
        latency_s : float
            Time from admission to completion, in seconds.
        work : float
            Amount of work done, such as tokens; 0 if it is unknown.
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
        """Record that an admitted request ended without a usable latency.

        Returns the resulting actions.
        """
        ticket = self._running_by_id.get(ticket_id)
        return [] if ticket is None else self._release(ticket, now)

    def record_server_load(self, running, waiting):
        """Record the load that the backend server reported, with some delay.

        If requests wait inside the server, the concurrency limit is reduced to
        the number that it runs.
        """
        if waiting:
            self._limit.record_saturation(running)

    def cancel(self, ticket_id, now):
        """Remove a queued or admitted ticket; return the resulting actions."""
        for queue in self._queued_by_priority.values():
            if queue.pop(ticket_id, None):
                return self._admit_queued(now)
        return self.failed(ticket_id, now)

    def expire(self, now):
        """Refuse queued requests that can no longer meet their deadline.

        Returns the resulting actions.
        """
        refused = []
        while self._expiries and self._expiries[0][0] < now:
            _, ticket_id, priority = heapq.heappop(self._expiries)
            ticket = self._queued_by_priority[priority].pop(ticket_id, None)
            if ticket:
                refused.append(self._refusal(ticket, reasons.Refusal.DEADLINE))
        return [*refused, *self._admit_queued(now)] if refused else []

    def drain(self):
        """Refuse new requests from now on, and all queued ones.

        Returns the refusals, so that the requests can be sent elsewhere.
        """
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
        """Return whether a request of a priority class can be admitted now."""
        if self.in_flight >= self.limit:
            return False
        if priority is facts.Priority.LIVE:
            return True
        if self._queued_by_priority[facts.Priority.LIVE]:
            return False
        return self.in_flight < max(1, self.limit - self._live_headroom())

    def _live_headroom(self):
        """Return how many slots training leaves free for live requests.

        The number of live requests in flight, if they arrive at random, has a
        standard deviation of the square root of its mean. The headroom is
        `_BURST_DEVIATIONS` of these, and at most the live reserve.
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
        """Admit queued requests while there is capacity, live ones first."""
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
        """Estimate how long a request runs, in seconds.

        The estimate is per unit of work if the ticket's work is known, else
        the mean of its priority class.
        """
        if ticket.work and self._s_per_work_unit is not None:
            return ticket.work * self._s_per_work_unit
        return self._mean_service_s_by_priority.get(ticket.priority, 0.0)

    def _wait_s(self, priority):
        """Estimate how long a new request of a class would be queued."""
        if self._has_capacity(priority) and not self._queued_ahead(priority):
            return 0.0
        rounds = (self._queued_ahead(priority) + 1) / self.limit
        return rounds * (self._mean_service_s or 0.0)

    def _queued_ahead(self, priority):
        """Return how many queued requests precede a new one of a class."""
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
