"""Which replicas a forwarder chooses from, as they come and go."""

import asyncio

from anvilwell_decisions.traffic import facts
from anvilwell_gateway import directory as directories
from anvilwell_gateway import forwarding


class _Directory:
    """Counts how often it is looked through."""

    def __init__(self):
        self.replicas_by_id = {}
        self.looks = 0

    def listen(self, callback):
        self._callback = callback

    def usable(self, service):
        self.looks += 1
        replicas = self.replicas_by_id.values()
        return [one for one in replicas if one.service == service]

    def find_usable(self, replica_id):
        return self.replicas_by_id.get(replica_id)

    def take(self, replica_id, service):
        replica = facts.Replica(replica_id, service, None, "a", 4)
        self.replicas_by_id[replica_id] = replica
        self.tell(replica_id)

    def lose(self, replica_id):
        del self.replicas_by_id[replica_id]
        self.tell(replica_id)

    def tell(self, replica_id, is_membership=True):
        ids = frozenset([replica_id])
        self._callback(directories.DirectoryChange(ids, is_membership))


class _Pool:
    def __init__(self):
        self.forgotten = []

    def forget(self, replica_id):
        self.forgotten.append(replica_id)


def test_replicas_come_and_go_without_a_look_at_the_others():
    async def scenario():
        directory, pool = _Directory(), _Pool()
        forwarder = forwarding.Forwarder(
            None, directory, pool, None, None, None
        )
        directory.take("r1", "lm")
        policy = forwarder.policy("lm")
        directory.take("r2", "lm")
        directory.take("r3", "plain")
        directory.tell("r1", is_membership=False)
        assert policy.replica_ids == {"r1", "r2"}
        directory.lose("r1")
        directory.lose("r3")
        directory.take("r2", "plain")
        assert policy.replica_ids == set()
        assert pool.forgotten == ["r1", "r2"]
        assert directory.looks == 1

    asyncio.run(scenario())
