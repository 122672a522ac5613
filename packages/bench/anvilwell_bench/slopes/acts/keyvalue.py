"""Calls of the key-value service, counted by what asks for them."""

from anvilwell_bench.slopes import act
from anvilwell_decisions.configuration import flows
from anvilwell_decisions.configuration import proposal
from anvilwell_decisions.configuration import registry
from anvilwell_decisions.leases import session as sessions
from anvilwell_decisions.samples import chunks
from anvilwell_kernel.messages import configuration as messages

SIZES = (10, 100, 400, 850)
STEP_S = 0.25
WINDOW_S = 60.0


class LeaseCalls(act.Act):
    """Renewals of leading daemons in a minute of virtual time."""

    name = "keyvalue.lease.writes"
    act = "lease renewals in a minute"
    grows_with = "daemons that lead"
    unit = "writes"
    sizes = (4, 16, 64, 128)

    def measure(self, size):
        """Return the number of calls."""
        return sum(self._one() for _ in range(size))

    @staticmethod
    def _one():
        session = sessions.Session()
        session.granted(1, 0.0)
        calls = 0
        for step in range(1, round(WINDOW_S / STEP_S) + 1):
            now = step * STEP_S
            if session.next_call(now):
                calls += 1
                session.renewed(1, now, sessions.TTL_S)
        return calls


def _instance(number):
    return messages.Instance(
        f"vm-{number:05d}",
        f"{number:032x}",
        f"10.0.{number // 250}.{number % 250}:7000",
        f"domain-{number % 13:02d}",
    )


class _Joins:
    """Lets daemons join their list, one after the other."""

    def __init__(self):
        self.slot = proposal.StoredValue(0, None)
        self.calls = 0
        self.bytes = 0

    def join(self, number):
        """Carry the join of one daemon, counting its calls."""
        role = _Role("planner-lm")
        flow = flows.join(_instance(number), role)
        answer = None
        while True:
            try:
                action = flow.send(answer)
            except StopIteration:
                return
            self.calls += 1
            answer = self._answer(action)

    def _answer(self, action):
        if isinstance(action, proposal.CompareAndSwap):
            (write,) = action.writes
            self.slot = proposal.StoredValue(
                self.slot.revision + 1, write.value
            )
            self.bytes = len(write.value)
            return True
        if isinstance(action, flows.ReadKey):
            return self.slot
        return []


class _Role:
    """The part of a role that the flow of a join reads."""

    def __init__(self, service):
        self.service = service


class JoinCalls(act.Act):
    """Calls of daemons that start, one after the other."""

    name = "keyvalue.join.calls"
    act = "reads and writes of starting daemons"
    grows_with = "daemons that start"
    unit = "calls"
    sizes = (10, 50, 100, 200)

    def measure(self, size):
        """Return the number of calls."""
        joins = _Joins()
        for number in range(size):
            joins.join(number)
        return joins.calls


class JoinBytes(act.Act):
    """Bytes of the member list that a start writes."""

    name = "keyvalue.join.bytes"
    act = "member list that a start writes"
    grows_with = "members of the list"
    unit = "bytes"
    sizes = SIZES

    def measure(self, size):
        """Return the value's bytes."""
        instances = [_instance(number) for number in range(size)]
        return len(registry.encode(registry.MemberList(instances)))


class ChangeReads(act.Act):
    """Calls of configuration changes, proposer's reads and its write."""

    name = "keyvalue.change.calls"
    act = "reads and the accepting write of changes"
    grows_with = "changes"
    unit = "calls"
    sizes = (1, 4, 16, 64)

    def measure(self, size):
        """Return the number of calls."""
        return sum(self._one() for _ in range(size))

    @staticmethod
    def _one():
        flow = flows.read_keys("planner-lm")
        answer = None
        calls = 0
        while True:
            try:
                flow.send(answer)
            except StopIteration:
                return calls + 1
            calls += 1
            answer = proposal.StoredValue(0, None)


class ChunkWrites(act.Act):
    """Chunks that a run writes in a minute, as its entries grow."""

    name = "keyvalue.chunk.writes"
    act = "chunks that one run writes in a minute"
    grows_with = "entries a minute"
    unit = "writes"
    sizes = (10, 60, 240, 960)

    def measure(self, size):
        """Return the number of writes; entries come evenly."""
        log = chunks.ChunkLog()
        writes = 0
        next_entry = 0
        for step in range(round(WINDOW_S / STEP_S)):
            now = step * STEP_S
            while next_entry * WINDOW_S / size <= now:
                log.append(next_entry, now)
                next_entry += 1
            for write in log.write(now):
                writes += 1
                log.landed(write.number)
        return writes
