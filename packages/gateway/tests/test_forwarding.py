"""Tests which replicas a forwarder chooses from as these change."""

import asyncio

from anvilwell_decisions.traffic import facts
from anvilwell_gateway import directory as directories
from anvilwell_gateway import forwarding


class _Directory:
    """A directory that counts how often the usable replicas are listed."""

    def __init__(self):
        self.replicas_by_id = {}
        self.usable_calls = 0

    def listen(self, callback):
        self._callback = callback

    def usable(self, service):
        self.usable_calls += 1
        replicas = self.replicas_by_id.values()
        return [one for one in replicas if one.service == service]

    def find_usable(self, replica_id):
        return self.replicas_by_id.get(replica_id)

    def add(self, replica_id, service):
        replica = facts.Replica(replica_id, service, None, "a", 4)
        self.replicas_by_id[replica_id] = replica
        self.publish(replica_id)

    def remove(self, replica_id):
        del self.replicas_by_id[replica_id]
        self.publish(replica_id)

    def publish(self, replica_id, is_membership=True):
        ids = frozenset([replica_id])
        self._callback(directories.DirectoryChange(ids, is_membership))


class _Pool:
    def __init__(self):
        self.forgotten = []

    def forget(self, replica_id):
        self.forgotten.append(replica_id)


def test_a_replica_change_does_not_list_all_replicas_again():
    async def scenario():
        directory, pool = _Directory(), _Pool()
        forwarder = forwarding.Forwarder(
            None, directory, pool, None, None, None, None
        )
        directory.add("r1", "lm")
        policy = forwarder.policy("lm")
        directory.add("r2", "lm")
        directory.add("r3", "plain")
        directory.publish("r1", is_membership=False)
        assert policy.replica_ids == {"r1", "r2"}
        directory.remove("r1")
        directory.remove("r3")
        directory.add("r2", "plain")
        assert policy.replica_ids == set()
        assert pool.forgotten == ["r1", "r2"]
        assert directory.usable_calls == 1

    asyncio.run(scenario())
