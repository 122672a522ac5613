"""Many agents of one service join its list at once, in virtual time."""

import random
import typing

from anvilwell_daemon.configuration import joining
from anvilwell_decisions.configuration import flows
from anvilwell_decisions.configuration import member
from anvilwell_decisions.configuration import proposal
from anvilwell_decisions.configuration import registry
from anvilwell_kernel.messages import configuration as messages
import simpy

SERVICE = "stops"
CALL_S = 0.005
LISTED = 5100
DOMAINS = 13


class Joins(typing.NamedTuple):
    """What joins cost: calls of the store, and seconds until the last."""

    joiners: int
    swaps: int
    most_tries: int
    written_bytes: int
    last_s: float


class _Store:
    """Keys with revisions; a call takes effect half-way."""

    def __init__(self, env, call_s):
        self.slots_by_key = {}
        self.swaps = 0
        self.written_bytes = 0
        self._env = env
        self._call_s = call_s
        self._revision = 0

    def call(self, action):
        """Carry out `action`; a simpy process."""
        yield self._env.timeout(self._call_s / 2)
        result = self._apply(action)
        yield self._env.timeout(self._call_s / 2)
        return result

    def put(self, key, value):
        """Write `value` whatever was there."""
        self._revision += 1
        self.slots_by_key[key] = proposal.StoredValue(self._revision, value)

    def _apply(self, action):
        if isinstance(action, flows.ReadKey):
            return self.slots_by_key.get(
                action.key, proposal.StoredValue(0, None)
            )
        if isinstance(action, flows.ReadRecords):
            return []
        (write,) = action.writes
        self.swaps += 1
        self.written_bytes += len(write.value)
        found = self.slots_by_key.get(write.key, proposal.StoredValue(0, None))
        if found.revision != write.expected:
            return False
        self.put(write.key, write.value)
        return True


def _run(flow, store):
    action = next(flow)
    while action is not None:
        result = yield from store.call(action)
        try:
            action = flow.send(result)
        except StopIteration as stop:
            documents, action = stop.value, None
    return documents


def instance(number, start=0):
    """Return the instance of VM `number` after `start` restarts."""
    return messages.Instance(
        f"vm-{number:05d}",
        f"{number + (start << 32):032x}",
        f"10.{number // 62500}.{number // 250 % 250}.{number % 250}:7000",
        f"domain-{number % DOMAINS:02d}",
    )


def list_bytes(listed):
    """Return the size of the list of `listed` agents."""
    return len(_list_value(listed))


def _list_value(listed):
    members = registry.MemberList([instance(n) for n in range(listed)])
    return registry.encode(members)


def measure(joiners, seed=1, listed=LISTED, call_s=CALL_S):
    """Return the `Joins` of `joiners` restarts in one instant.

    Parameters
    ----------
    joiners : int
        How many of the `listed` agents start again.
    seed : int
        Of the pauses.
    listed : int
        Agents of the service.
    call_s : float
        How long each call of the store takes.
    """
    env = simpy.Environment()
    store = _Store(env, call_s)
    role = member.Role(SERVICE)
    store.put(flows.members_key(role), _list_value(listed))
    rng = random.Random(seed)
    tries = [0] * joiners

    def join(index):
        pauses = joining.pauses(random.Random(rng.random()))
        while True:
            tries[index] += 1
            flow = flows.join(instance(index, 1), role)
            documents = yield from _run(flow, store)
            if documents is not None:
                return
            yield env.timeout(next(pauses))

    for index in range(joiners):
        env.process(join(index))
    env.run()
    return Joins(
        joiners, store.swaps, max(tries), store.written_bytes, env.now
    )
