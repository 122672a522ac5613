"""Admission prefers live requests, bounds queues and refuses in time."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from anvilwell_decisions.requests import admission
from anvilwell_decisions.requests import facts
from anvilwell_decisions.requests import limits
from anvilwell_kernel import reasons

LIVE = facts.Priority.LIVE
TRAINING = facts.Priority.TRAINING
SETTINGS = admission.AdmissionSettings(
    max_queue=4, live_reserve=0.25, bounds=limits.LimitBounds(initial=4)
)


class Invariants(stateful.RuleBasedStateMachine):
    """Offers, completions and cancellations in any order, with a model."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.admission = admission.Admission(SETTINGS)
        self.tickets = {}
        self.states = {}
        self.admitted_at = {}

    def _apply(self, action):
        ticket_id = action.ticket_id
        old = self.states.get(ticket_id)
        assert old in (None, "queued"), "ticket was answered twice"
        if isinstance(action, admission.Admit):
            self._check_admit(self.tickets[ticket_id])
            self.states[ticket_id] = "running"
            self.admitted_at[ticket_id] = self.now
        elif isinstance(action, admission.Queue):
            self.states[ticket_id] = "queued"
        else:
            assert action.retry_after_s > 0
            self.states[ticket_id] = "refused"

    def _check_admit(self, ticket):
        assert ticket.deadline >= self.now
        running = [t for t, s in self.states.items() if s == "running"]
        assert len(running) < self.admission.limit
        if ticket.priority is TRAINING:
            waiting = [
                t
                for t, state in self.states.items()
                if state == "queued" and self.tickets[t].priority is LIVE
            ]
            assert not waiting, "training was admitted before live"

    @stateful.rule(
        priority=st.sampled_from(tuple(facts.Priority)),
        time_left_s=st.sampled_from((0.0, 0.5, 2.0, 30.0)),
    )
    def offer(self, priority, time_left_s):
        ticket_id = f"t{len(self.tickets)}"
        ticket = admission.Ticket(ticket_id, priority, self.now + time_left_s)
        self.tickets[ticket_id] = ticket
        self._apply(self.admission.offer(ticket, self.now))

    @stateful.precondition(lambda self: "running" in self.states.values())
    @stateful.rule(data=st.data(), slow=st.sampled_from((0.1, 1.0, 3.0)))
    def finish(self, data, slow):
        running = [t for t, s in self.states.items() if s == "running"]
        ticket_id = data.draw(st.sampled_from(running))
        self.now += slow / 4
        self.states[ticket_id] = "done"
        for action in self.admission.finished(ticket_id, self.now, slow):
            self._apply(action)

    @stateful.precondition(lambda self: "queued" in self.states.values())
    @stateful.rule(data=st.data())
    def cancel(self, data):
        queued = [t for t, s in self.states.items() if s == "queued"]
        ticket_id = data.draw(st.sampled_from(queued))
        self.states[ticket_id] = "done"
        for action in self.admission.cancel(ticket_id, self.now):
            self._apply(action)

    @stateful.rule(seconds=st.sampled_from((0.1, 1.0, 5.0)))
    def wait(self, seconds):
        self.now += seconds
        for action in self.admission.expire(self.now):
            self._apply(action)
        overdue = [
            t
            for t, state in self.states.items()
            if state == "queued" and self.tickets[t].deadline < self.now
        ]
        assert not overdue, "a queued ticket is past its deadline"

    @stateful.rule()
    def drain(self):
        for action in self.admission.drain():
            self._apply(action)
        assert "queued" not in self.states.values()

    @stateful.invariant()
    def queue_is_bounded(self):
        states = list(self.states.items())
        for priority in facts.Priority:
            queued = [
                t
                for t, state in states
                if state == "queued" and self.tickets[t].priority is priority
            ]
            assert len(queued) <= SETTINGS.max_queue
        assert self.admission.queued == sum(
            state == "queued" for _, state in states
        )

    @stateful.invariant()
    def live_waits_only_at_the_limit(self):
        """Live requests are queued only while the server is full."""
        running = sum(s == "running" for s in self.states.values())
        assert self.admission.in_flight == running
        live_waits = any(
            state == "queued" and self.tickets[t].priority is LIVE
            for t, state in self.states.items()
        )
        assert not live_waits or running >= self.admission.limit


Invariants.TestCase.settings = hypothesis.settings(
    max_examples=100, stateful_step_count=40
)
TestInvariants = Invariants.TestCase


def _ticket(ticket_id, priority=LIVE, deadline=100.0, work=0.0):
    return admission.Ticket(ticket_id, priority, deadline, work)


def test_training_is_kept_out_of_the_live_reserve():
    gate = admission.Admission(SETTINGS)
    for number in range(3):
        ticket = _ticket(f"t{number}", TRAINING)
        assert isinstance(gate.offer(ticket, 0.0), admission.Admit)
    assert isinstance(gate.offer(_ticket("t3", TRAINING), 0), admission.Queue)
    assert isinstance(gate.offer(_ticket("live"), 0.0), admission.Admit)


def test_queued_live_is_admitted_before_earlier_training():
    gate = admission.Admission(SETTINGS)
    for number in range(4):
        gate.offer(_ticket(f"r{number}"), 0.0)
    gate.offer(_ticket("training", TRAINING), 0.0)
    gate.offer(_ticket("live"), 0.0)
    actions = gate.finished("r0", 1.0, 1.0)
    assert actions == [admission.Admit("live")]


def test_deadline_that_cannot_be_met_is_refused_at_once():
    gate = admission.Admission(SETTINGS)
    gate.offer(_ticket("a"), 0.0)
    gate.finished("a", 10.0, 10.0)
    answer = gate.offer(_ticket("b", deadline=15.0), 10.0)
    assert answer.reason is reasons.Refusal.DEADLINE
    answer = gate.offer(_ticket("c", deadline=25.0), 10.0)
    assert answer == admission.Admit("c")


def test_full_queue_refuses_with_a_retry_delay():
    gate = admission.Admission(SETTINGS)
    for number in range(8):
        gate.offer(_ticket(f"t{number}"), 0.0)
    answer = gate.offer(_ticket("more"), 0.0)
    assert answer.reason is reasons.Refusal.QUEUE_FULL
    assert answer.retry_after_s > 0


def test_drain_refuses_queued_and_lets_running_finish():
    gate = admission.Admission(SETTINGS)
    for number in range(6):
        gate.offer(_ticket(f"t{number}"), 0.0)
    refused = gate.drain()
    assert [r.ticket_id for r in refused] == ["t4", "t5"]
    assert {r.reason for r in refused} == {reasons.Refusal.DRAINING}
    assert gate.in_flight == 4
    assert gate.finished("t0", 1.0, 1.0) == []
    late = gate.offer(_ticket("late"), 1.0)
    assert late.reason is reasons.Refusal.DRAINING


def test_limit_shrinks_when_slow_and_grows_when_used_and_fast():
    limit = limits.AdaptiveLimit(limits.LimitBounds(initial=10, window=4))
    for _ in range(4):
        limit.observe(1.0, 1.0, 10)
    grown = limit.limit
    assert grown > 10
    for _ in range(40):
        limit.observe(2.0, 1.0, grown)
    assert limit.limit < grown
    assert limit.limit >= 2


def test_training_leaves_the_live_reserve_free():
    gate = admission.Admission(SETTINGS)
    for number in range(3):
        gate.offer(_ticket(f"live{number}"), 0.0)
    late = gate.offer(_ticket("training", TRAINING), 0.0)
    assert isinstance(late, admission.Queue)
    assert gate.finished("live0", 1.0, 1.0) == [admission.Admit("training")]


def test_queueing_in_the_server_caps_the_limit():
    gate = admission.Admission(SETTINGS)
    gate.record_server_load(running=3, waiting=0)
    assert gate.limit == 4
    gate.record_server_load(running=3, waiting=1)
    assert gate.limit == 3


def test_cap_is_raised_again_after_some_windows():
    limit = limits.AdaptiveLimit(limits.LimitBounds(initial=10, window=1))
    limit.record_saturation(6)
    grown = [limit.observe(1.0, 1.0, 20) or limit.limit for _ in range(9)]
    assert grown[0] == 6
    assert 6 < grown[-1] <= 9


def test_limit_does_not_grow_while_it_is_not_used():
    limit = limits.AdaptiveLimit(limits.LimitBounds(initial=10, window=4))
    for _ in range(40):
        limit.observe(1.0, 1.0, 3)
    assert limit.limit == 10


def test_limit_relearns_its_baseline_when_the_server_slows_down():
    limit = limits.AdaptiveLimit(limits.LimitBounds(initial=4, window=1))
    limit.observe(1.0, 1.0, 4)
    for _ in range(60):
        limit.observe(3.0, 1.0, limit.limit)
    assert limit.best_s == 3.0
    assert limit.limit > 2


def test_queued_request_that_became_late_is_refused():
    gate = admission.Admission(SETTINGS._replace(live_reserve=0.0))
    for number in range(4):
        gate.offer(_ticket(f"t{number}"), 0.0)
    gate.offer(_ticket("late", deadline=5.0), 0.0)
    gate.offer(_ticket("training", TRAINING), 0.0)
    refused, admitted = gate.finished("t0", 9.0, 9.0)
    assert refused.reason is reasons.Refusal.DEADLINE
    assert admitted == admission.Admit("training")


def test_long_training_does_not_raise_live_estimates():
    gate = admission.Admission(SETTINGS)
    for number in range(20):
        name = f"t{number}"
        gate.offer(_ticket(name, TRAINING, 1000.0), 0.0)
        gate.finished(name, 60.0, 60.0)
    answer = gate.offer(_ticket("live", deadline=65.0), 60.0)
    assert answer == admission.Admit("live")
