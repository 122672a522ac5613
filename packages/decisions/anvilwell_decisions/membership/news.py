"""Queues the latest changes until each neighbour acknowledges them."""

import itertools
import typing

from anvilwell_kernel.messages import membership as messages

# Records that one heartbeat carries at most.
MAX_MEMBERS = 16
# Rate and size of the token bucket, in records.
RATE_PER_S = 64.0
BURST = 128.0
# Unacknowledged records are sent again after this many seconds.
RESEND_S = 1.0
# Seconds after which a death is no longer announced to neighbours.
DEATH_NEWS_TTL_S = 2.0

_URGENCY = {
    messages.State.LEAVING: 0,
    messages.State.DEAD: 1,
    messages.State.LIVE: 2,
    messages.State.SUSPECT: 3,
}


class _Sent(typing.NamedTuple):
    number: int
    members: list
    at: float


class News:
    """Queues changed member records for each neighbour until acknowledged.

    Each change crosses each edge of the neighbour graph about once, so its
    cost per daemon is the graph's degree. A token bucket limits the records
    sent per second, however many members change. Records of leaving members
    are sent first.
    """

    def __init__(self):
        self._waiting_by_neighbour = {}
        self._sent_by_neighbour = {}
        self._died_at_by_id = {}
        self._tokens = BURST
        self._filled_at = None

    def set_neighbours(self, vm_ids):
        """Keep queues for `vm_ids` only."""
        waiting = self._waiting_by_neighbour
        sent = self._sent_by_neighbour
        self._waiting_by_neighbour = {v: waiting.get(v, {}) for v in vm_ids}
        self._sent_by_neighbour = {v: sent[v] for v in vm_ids if v in sent}

    def add(self, member, source=None, now=0.0):
        """Queue `member` for all neighbours except `source`."""
        if member.state is messages.State.DEAD:
            self._died_at_by_id.pop(member.vm_id, None)
            self._died_at_by_id[member.vm_id] = now
        for vm_id, waiting in self._waiting_by_neighbour.items():
            if vm_id != source:
                waiting[member.vm_id] = member

    def mark_received(self, neighbour, member):
        """Dequeue `member` for `neighbour` unless a newer record waits."""
        waiting = self._waiting_by_neighbour.get(neighbour, {})
        queued = waiting.get(member.vm_id)
        if queued and queued.rank <= member.rank:
            del waiting[member.vm_id]

    def urgent(self, now):
        """Return the neighbours to send changes to at once."""
        self._fill(now)
        self._drop_old_deaths(now)
        if self._tokens < 1.0:
            return []
        return [
            vm_id
            for vm_id, waiting in self._waiting_by_neighbour.items()
            if not self._is_sending(vm_id, now) and _is_urgent(waiting)
        ]

    def take(self, neighbour, number, now):
        """Return the members to send to `neighbour` in heartbeat `number`."""
        self._fill(now)
        if self._is_sending(neighbour, now):
            return []
        self._drop_old_deaths(now)
        waiting = self._waiting_by_neighbour.get(neighbour, {})
        budget = min(MAX_MEMBERS, int(self._tokens))
        ordered = sorted(waiting.values(), key=lambda m: _URGENCY[m.state])
        chosen = ordered[:budget]
        self._tokens -= len(chosen)
        if chosen:
            self._sent_by_neighbour[neighbour] = _Sent(number, chosen, now)
        return list(chosen)

    def acknowledge(self, neighbour, number):
        """Dequeue what `neighbour` received with heartbeat `number`."""
        sent = self._sent_by_neighbour.get(neighbour)
        if sent and sent.number == number:
            del self._sent_by_neighbour[neighbour]
            for member in sent.members:
                self.mark_received(neighbour, member)

    def _drop_old_deaths(self, now):
        """Dequeue deaths that were detected too long ago.

        A daemon that couldn't send them for that long may have been isolated
        itself. Real deaths still reach others by the exchange of tables,
        where a claim of death is verified first.
        """
        old = itertools.takewhile(
            lambda vm_id: now - self._died_at_by_id[vm_id] > DEATH_NEWS_TTL_S,
            self._died_at_by_id,
        )
        for vm_id in list(old):
            del self._died_at_by_id[vm_id]
            for waiting in self._waiting_by_neighbour.values():
                queued = waiting.get(vm_id)
                if queued and queued.state is messages.State.DEAD:
                    del waiting[vm_id]

    def _is_sending(self, neighbour, now):
        sent = self._sent_by_neighbour.get(neighbour)
        return sent is not None and now - sent.at < RESEND_S

    def _fill(self, now):
        if self._filled_at is not None:
            gained = max(now - self._filled_at, 0.0) * RATE_PER_S
            self._tokens = min(BURST, self._tokens + gained)
        self._filled_at = now


def _is_urgent(waiting):
    suspect = messages.State.SUSPECT
    return any(member.state is not suspect for member in waiting.values())
