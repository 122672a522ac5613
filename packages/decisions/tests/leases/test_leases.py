"""Leases and fencing hold under pauses, outages and lost responses."""

import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from anvilwell_decisions.leases import fencing
from anvilwell_decisions.leases import leadership
from anvilwell_decisions.leases import session as sessions
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons

NAME = "rollout/lm"
KEYS = leadership.keys(NAME)
TTL_S = 10.0
# The CI profile has 100 examples, that of `make fuzz` 20000.
EXAMPLES = 5 * hypothesis.settings.default.max_examples
WHO = st.integers(0, 2)
RARELY = st.sampled_from([False, False, False, True])


class Entry(typing.NamedTuple):
    value: bytes
    revision: int
    lease: int


class Store:
    """A minimal key-value service with leases and conditional writes."""

    def __init__(self):
        self.now = 0.0
        self.revision = 0
        self.entries_by_key = {}
        self.ends_by_lease = {}

    def advance(self, seconds):
        self.now += seconds
        lapsed = [v for v, at in self.ends_by_lease.items() if at <= self.now]
        for lease in lapsed:
            self.drop(lease)

    def drop(self, lease):
        del self.ends_by_lease[lease]
        self.entries_by_key = {
            key: entry
            for key, entry in self.entries_by_key.items()
            if entry.lease != lease
        }

    def grant(self, ttl_s):
        self.revision += 1
        self.ends_by_lease[self.revision] = self.now + ttl_s
        return self.revision

    def keep_alive(self, lease, ttl_s):
        if lease not in self.ends_by_lease:
            return 0
        self.ends_by_lease[lease] = self.now + ttl_s
        return ttl_s

    def swap(self, writes):
        found = self.entries_by_key
        for write in writes:
            entry = found.get(write.key)
            if (entry.revision if entry else 0) != write.expected:
                return False
            if write.lease and write.lease not in self.ends_by_lease:
                return False
        self.revision += 1
        for write in writes:
            entry = Entry(write.value, self.revision, write.lease)
            found[write.key] = entry
        return True


class Daemon:
    """A candidate whose calls may lose their responses."""

    def __init__(self, vm_id, store):
        self.session = sessions.Session(TTL_S)
        self.leadership = leadership.Leadership(NAME, vm_id)
        self.store = store
        self.tenure = None
        self.unsent = None

    def renew(self, is_response_lost):
        sent_at = self.store.now
        call = self.session.next_call(sent_at)
        if isinstance(call, sessions.Grant):
            lease = self.store.grant(call.ttl_s)
            if not is_response_lost:
                self.session.granted(lease, sent_at)
        elif isinstance(call, sessions.KeepAlive):
            granted_s = self.store.keep_alive(call.lease, TTL_S)
            if not is_response_lost:
                self.session.renewed(call.lease, sent_at, granted_s)

    def run_for_leadership(self, is_response_lost):
        lease = self.session.lease
        if not self.session.is_held(self.store.now):
            return
        found = dict(self.store.entries_by_key)
        standing = self.leadership.standing(found, lease)
        if standing is leadership.Standing.OURS:
            self.tenure = self.leadership.read_tenure(found, lease)
        elif standing is leadership.Standing.FREE:
            writes = self.leadership.takeover_writes(found, lease)
            if self.store.swap(writes) and not is_response_lost:
                self.tenure = self.leadership.won_tenure(writes, lease)

    def check(self):
        if self.tenure is None:
            return False
        try:
            leadership.check_tenure(self.tenure, self.session, self.store.now)
        except exceptions.Fenced:
            return False
        return True


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Candidates, one store, one fencing gate and orders that arrive late.

    Two of the candidates are incarnations of the same VM: the first one may
    only be paused and not dead.
    """

    def __init__(self):
        super().__init__()
        self.store = Store()
        ids = ("vm0", "vm0", "vm1")
        self.daemons = [Daemon(vm_id, self.store) for vm_id in ids]
        self.gate = fencing.FencingGate()
        self.gate.raise_to(0)
        self.holders_by_number = {}
        self.late_orders = []
        self.highest_passed = 0
        self.down_until = 0.0

    @property
    def is_down(self):
        return self.store.now < self.down_until

    @stateful.rule(seconds=st.sampled_from([1.0, 3.0, 7.0, 10.1]))
    def pass_time(self, seconds):
        self.store.advance(seconds)

    @stateful.rule(seconds=st.sampled_from([1.0, 9.0, 20.0]))
    def outage(self, seconds):
        self.down_until = self.store.now + seconds

    @stateful.rule(who=WHO, lost=RARELY)
    def renew(self, who, lost):
        if not self.is_down:
            self.daemons[who].renew(lost)

    @stateful.rule(who=WHO, lost=RARELY)
    def campaign(self, who, lost):
        if self.is_down:
            return
        if not self.daemons[who].session.is_held(self.store.now):
            self.daemons[who].renew(False)
            self.daemons[who].renew(False)
        self.daemons[who].run_for_leadership(lost)

    @stateful.rule()
    def store_forgets_a_lease(self):
        for lease in list(self.store.ends_by_lease)[:1]:
            self.store.drop(lease)

    @stateful.rule(who=WHO, is_late=st.booleans())
    def act(self, who, is_late):
        daemon = self.daemons[who]
        if not daemon.check():
            return
        number = daemon.tenure.fencing
        holder = self.holders_by_number.setdefault(number, daemon)
        assert holder is daemon
        if is_late:
            self.late_orders.append(number)
        else:
            self.deliver(number)

    @stateful.rule()
    def deliver_late(self):
        if self.late_orders:
            self.deliver(self.late_orders.pop(0))

    def deliver(self, number):
        try:
            self.gate.admit(number)
        except (exceptions.Fenced, exceptions.Refused):
            return
        assert number >= self.highest_passed
        self.highest_passed = number

    @stateful.rule()
    def agent_restarts(self):
        self.gate = fencing.FencingGate()

    @stateful.rule()
    def agent_reads_counter(self):
        if not self.is_down:
            found = self.store.entries_by_key
            self.gate.raise_to(leadership.read_fencing(found, NAME))

    @stateful.invariant()
    def no_two_hold_one_number(self):
        acting = [d.tenure.fencing for d in self.daemons if d.check()]
        assert len(set(acting)) == len(acting)


class HonestStoreMachine(LeaseMachine):
    """The same with a store that never drops a lease early."""

    store_forgets_a_lease = None

    @stateful.invariant()
    def at_most_one_may_act(self):
        assert sum(d.check() for d in self.daemons) <= 1


TestLeases = LeaseMachine.TestCase
TestLeases.settings = hypothesis.settings(
    max_examples=EXAMPLES, stateful_step_count=25
)
TestHonestStore = HonestStoreMachine.TestCase
TestHonestStore.settings = TestLeases.settings
TestLeases.pytestmark = [pytest.mark.fuzz, pytest.mark.timeout(3600)]
TestHonestStore.pytestmark = TestLeases.pytestmark


@pytest.fixture(name="held")
def fixture_held():
    store = Store()
    daemon = Daemon("vm0", store)
    daemon.renew(False)
    daemon.run_for_leadership(False)
    return daemon


def test_holder_stops_before_the_store_admits_another(held):
    held.store.advance(7.9)
    assert held.check()
    held.store.advance(0.2)
    assert not held.check()
    other = Daemon("vm1", held.store)
    other.renew(False)
    other.run_for_leadership(False)
    assert other.tenure is None
    held.store.advance(2.0)
    other.run_for_leadership(False)
    assert other.tenure.fencing == held.tenure.fencing + 1


def test_takeover_with_a_lost_response_is_read_back():
    store = Store()
    daemon = Daemon("vm0", store)
    daemon.renew(False)
    daemon.run_for_leadership(True)
    assert daemon.tenure is None
    daemon.run_for_leadership(False)
    assert daemon.tenure.fencing == 1


def test_renewal_with_a_lost_response_moves_no_deadline(held):
    before = held.session.deadline
    held.store.advance(5.0)
    held.renew(True)
    assert held.session.deadline == before


def test_restarted_candidate_does_not_take_its_old_key_for_its_own(held):
    again = Daemon("vm0", held.store)
    again.renew(False)
    again.run_for_leadership(False)
    assert again.tenure is None


def test_gate_admits_no_order_before_the_highest_number_is_known():
    gate = fencing.FencingGate()
    with pytest.raises(exceptions.Refused) as raised:
        gate.admit(7)
    assert raised.value.reason is reasons.Refusal.KEY_VALUE_UNAVAILABLE
    gate.raise_to(8)
    with pytest.raises(exceptions.Fenced):
        gate.admit(7)
    gate.admit(8)


def test_number_exceeds_that_of_a_gate_after_the_store_lost_data():
    daemon = Daemon("vm0", Store())
    daemon.renew(False)
    daemon.leadership.record_higher(41)
    daemon.run_for_leadership(False)
    assert daemon.tenure.fencing == 42


def test_expired_lease_is_replaced_by_a_new_one(held):
    held.store.advance(10.1)
    held.renew(False)
    assert not held.check()
    held.renew(False)
    held.run_for_leadership(False)
    assert held.check()
    assert held.tenure.fencing == 2
