"""Which entries an agent tells what its engine has and loads.

Entries that run batches for the engine need it, a few of many. Each entry
knows them, by the owners of batches, and names them in its answer.
"""

# Fewer entries are told all: then nobody need be asked who needs it.
MAX_DIRECT = 8
# Entries that are asked who needs a notice until one of them answers.
MAX_ASKED = 3


class NoticeRecipients:
    """Remembers who needs an agent's notices, as entries named them."""

    def __init__(self):
        self._ranked = ()
        self._named = frozenset()

    def set_entries(self, ranked):
        """Take in the entries that are there, those to ask first in front."""
        self._ranked = tuple(ranked)

    def begin(self):
        """Return the `NoticeDelivery` of one notice."""
        return NoticeDelivery(self)

    @property
    def ranked(self):
        """The entries that are there, in the order to ask them."""
        return self._ranked

    @property
    def named(self):
        """The entries that need notices, as far as is known."""
        return self._named.intersection(self._ranked)

    def update(self, named):
        """Take in who needs notices, as of the newest answers."""
        self._named = frozenset(named)


class NoticeDelivery:
    """One notice under way: who is to be told next.

    Those that needed the last one are told at once, beside one that is
    asked who needs it now; whoever is named besides is told then.

    Parameters
    ----------
    audience : Audience
        Who is known to need notices; it learns from the answers.
    """

    def __init__(self, recipients):
        self._recipients = recipients
        self._sent_to = set()
        self._pending = set()
        self._named = set()
        self._asked = 0
        self._is_answered = False

    def first_recipients(self):
        """Return the VMs to tell at once."""
        ranked = self._recipients.ranked
        if len(ranked) <= MAX_DIRECT:
            return self._send_to(ranked)
        return self._send_to([*self._recipients.named, *self._next_to_ask()])

    def answered(self, vm_id, named):
        """Take in that `vm_id` was told; return the VMs to tell as well."""
        self._pending.discard(vm_id)
        self._is_answered = True
        self._named.update(named)
        self._recipients.update(self._named)
        return self._send_to(self._recipients.named)

    def failed(self, vm_id):
        """Take in that `vm_id` did not answer; return whom to tell now."""
        self._pending.discard(vm_id)
        if self._is_answered or self._pending:
            return []
        return self._send_to(self._next_to_ask())

    def _next_to_ask(self):
        """Return the next VM to ask who needs the notice, in a list."""
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
