"""A simulated key-value service, shared by all simulated instances."""

from anvilwell_decisions.configuration import flows
from anvilwell_decisions.configuration import proposal
from anvilwell_decisions.configuration import record as records
from anvilwell_decisions.configuration import registry

SERVICE = "s"


class Store:
    """A key-value service that applies one action at a time."""

    def __init__(self):
        self.slots_by_key = {}
        self.revision = 0
        self.is_up = True

    def apply(self, action):
        if isinstance(action, proposal.CompareAndSwap):
            return self._swap(action)
        if isinstance(action, flows.ReadKey):
            return self.read(action.key)
        return [records.document_of(self.record())]

    def read(self, key):
        return self.slots_by_key.get(key, proposal.StoredValue(0, None))

    def record(self):
        slot = self.read(registry.record_key(SERVICE))
        return records.decode(slot.value, SERVICE)

    def _swap(self, action):
        conditions = [*action.writes, *action.guards]
        if any(
            self.read(one.key).revision != one.expected for one in conditions
        ):
            return False
        self.revision += 1
        for one in action.writes:
            self.slots_by_key[one.key] = proposal.StoredValue(
                self.revision, one.value
            )
        return True
