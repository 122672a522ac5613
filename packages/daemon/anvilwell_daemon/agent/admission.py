"""The queue in front of a backend server."""

import abc
import collections
import typing

from anvilwell_kernel import reasons

LIVE = "live"


class Ticket(typing.NamedTuple):
    """A request that asks to run; ``deadline`` is monotonic seconds."""

    ticket_id: int
    priority: str
    deadline: float


class Admit(typing.NamedTuple):
    """Run the request now."""

    ticket_id: int


class Refuse(typing.NamedTuple):
    """Refuse the request; it has not run."""

    ticket_id: int
    reason: reasons.Refusal
    retry_after_s: float | None = None


class Admission(abc.ABC):
    """Decides which requests run, wait or are refused."""

    @abc.abstractmethod
    def offer(self, ticket, now):
        """Take a new request; return actions."""

    @abc.abstractmethod
    def finish(self, ticket_id, now):
        """Note that an admitted request ended; return actions."""

    @abc.abstractmethod
    def withdraw(self, ticket_id, now):
        """Forget a waiting request; return whether it was waiting."""

    @abc.abstractmethod
    def drain(self, now):
        """Refuse all that waits, and all offered later."""

    @property
    @abc.abstractmethod
    def running(self):
        """Requests admitted and not yet finished."""

    @property
    @abc.abstractmethod
    def queued(self):
        """Requests that wait."""

    @property
    @abc.abstractmethod
    def limit(self):
        """Requests that may run at a time."""


class BoundedPriorityQueue(Admission):
    """A fixed limit, a bounded queue, live requests first.

    Parameters
    ----------
    limit : int
        Requests that run at a time.
    max_queue : int
        Requests that may wait.
    """

    def __init__(self, limit, max_queue):
        self._limit = limit
        self._max_queue = max_queue
        self._live_by_id = collections.OrderedDict()
        self._training_by_id = collections.OrderedDict()
        self._running = set()
        self._draining = False

    @property
    def running(self):
        """Requests admitted and not yet finished."""
        return len(self._running)

    @property
    def queued(self):
        """Requests that wait."""
        return len(self._live_by_id) + len(self._training_by_id)

    @property
    def limit(self):
        """Requests that may run at a time."""
        return self._limit

    def offer(self, ticket, now):
        """Take a new request; return actions."""
        if self._draining:
            return [Refuse(ticket.ticket_id, reasons.Refusal.DRAINING)]
        if len(self._running) < self._limit:
            self._running.add(ticket.ticket_id)
            return [Admit(ticket.ticket_id)]
        if self.queued < self._max_queue:
            self._waiting(ticket)[ticket.ticket_id] = ticket
            return []
        return self._displace(ticket)

    def finish(self, ticket_id, now):
        """Note that an admitted request ended; return actions."""
        self._running.discard(ticket_id)
        actions = []
        while self.queued and len(self._running) < self._limit:
            actions.append(self._next(now))
        return actions

    def withdraw(self, ticket_id, now):
        """Forget a waiting request; return whether it was waiting."""
        live = self._live_by_id.pop(ticket_id, None)
        training = self._training_by_id.pop(ticket_id, None)
        return (live or training) is not None

    def drain(self, now):
        """Refuse all that waits, and all offered later."""
        self._draining = True
        waiting = [*self._live_by_id, *self._training_by_id]
        self._live_by_id.clear()
        self._training_by_id.clear()
        return [
            Refuse(ticket_id, reasons.Refusal.DRAINING)
            for ticket_id in waiting
        ]

    def _waiting(self, ticket):
        if ticket.priority == LIVE:
            return self._live_by_id
        return self._training_by_id

    def _displace(self, ticket):
        if ticket.priority != LIVE or not self._training_by_id:
            return [_full(ticket.ticket_id)]
        victim_id, _ = self._training_by_id.popitem()
        self._live_by_id[ticket.ticket_id] = ticket
        return [_full(victim_id)]

    def _next(self, now):
        waiting = self._live_by_id or self._training_by_id
        ticket_id, ticket = waiting.popitem(last=False)
        if ticket.deadline <= now:
            return Refuse(ticket_id, reasons.Refusal.DEADLINE)
        self._running.add(ticket_id)
        return Admit(ticket_id)


def _full(ticket_id):
    return Refuse(ticket_id, reasons.Refusal.QUEUE_FULL, 1.0)
