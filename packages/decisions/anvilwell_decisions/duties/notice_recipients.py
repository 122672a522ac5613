"""Decides which entries an agent notifies of its engine's versions and loads.

Of many entries only a few run batches for the engine and need the notices.
Every entry can determine which ones need them from the owners of the batches,
and names these in its response to a notice.
"""

# If there are at most this many live entries, all are notified, without asking
# which of them need the notice.
MAX_DIRECT = 8
# Largest number of entries that are asked which entries need a notice. They
# are asked one after the other until one answers.
MAX_ASKED = 3


class NoticeRecipients:
    """Remembers which entries need an agent's notices."""

    def __init__(self):
        self._ranked = ()
        self._named = frozenset()

    def set_entries(self, ranked):
        """Set the live entries, in the order in which they are asked."""
        self._ranked = tuple(ranked)

    def begin(self):
        """Return the `NoticeDelivery` of a new notice."""
        return NoticeDelivery(self)

    @property
    def ranked(self):
        """The live entries, in the order in which they are asked."""
        return self._ranked

    @property
    def named(self):
        """The live entries that the newest responses named as recipients."""
        return self._named.intersection(self._ranked)

    def update(self, named):
        """Set which entries need notices, from the newest responses."""
        self._named = frozenset(named)


class NoticeDelivery:
    """The delivery of one notice to the entries that need it.

    The notice is sent at once to the entries that needed the previous one, and
    to one more entry, which is asked which entries need notices now. If a
    response names further entries, the notice is sent to these too.

    Parameters
    ----------
    recipients : NoticeRecipients
        Entries that need notices; updated from the responses.
    """

    def __init__(self, recipients):
        self._recipients = recipients
        self._sent_to = set()
        self._pending = set()
        self._named = set()
        self._asked = 0
        self._is_answered = False

    def first_recipients(self):
        """Return the VMs to notify at once."""
        ranked = self._recipients.ranked
        if len(ranked) <= MAX_DIRECT:
            return self._send_to(ranked)
        return self._send_to([*self._recipients.named, *self._next_to_ask()])

    def answered(self, vm_id, named):
        """Process the response of a VM; return further VMs to notify."""
        self._pending.discard(vm_id)
        self._is_answered = True
        self._named.update(named)
        self._recipients.update(self._named)
        return self._send_to(self._recipients.named)

    def failed(self, vm_id):
        """Process a failed delivery to a VM; return VMs to notify instead."""
        self._pending.discard(vm_id)
        if self._is_answered or self._pending:
            return []
        return self._send_to(self._next_to_ask())

    def _next_to_ask(self):
        """Return a list with the next VM to ask, empty if none is left."""
        if self._asked == MAX_ASKED:
            return []
        self._asked += 1
        left = (
            vm for vm in self._recipients.ranked if vm not in self._sent_to
        )
        return [vm for vm in [next(left, None)] if vm is not None]

    def _send_to(self, vm_ids):
        fresh = [vm for vm in dict.fromkeys(vm_ids) if vm not in self._sent_to]
        self._sent_to.update(fresh)
        self._pending.update(fresh)
        return fresh
