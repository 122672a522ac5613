"""Tests which step the coordinator starts, early work and hedging."""

import pytest

from anvilwell_decisions.samples import actions
from anvilwell_decisions.samples import coordinator as coordinators
from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import ledger as ledgers
from anvilwell_decisions.samples import schedule

GROUP = identity.Group("g", "p", 2, 8)


class Service:
    """A coordinator whose writes and copies succeed immediately."""

    def __init__(self, early_share):
        policy = schedule.Policy(early_share=early_share)
        self.coordinator = coordinators.Coordinator(
            "a", 1, bound=1, policy=policy
        )
        self.started = []
        self.coordinator.replica("e", 8, 1)
        self.perform(self.coordinator.open_run("r", 1.0, {}, 0.0))

    def perform(self, addressed):
        todo = list(addressed)
        while todo:
            run, action = todo.pop(0)
            ledger = self.coordinator.ledgers_by_run[run]
            event, args = None, ()
            match action:
                case actions.WriteChunk():
                    event, args = ledger.written, (action.number, 0.0)
                case actions.Replicate():
                    event = ledger.replicated
                    args = (action.sample, action.digest, ("a",), 0.0)
                case schedule.Start():
                    self.started.append(action)
            if event:
                todo += self.coordinator.on_ledger(run, event, *args)

    def submit(self, number):
        step = identity.Step("r", number, "lm", (GROUP,))
        self.perform(self.coordinator.submit(step, 0.0))

    def end_all(self):
        starts, self.started = self.started, []
        for start in starts:
            result = ledgers.Result(str(start.attempt), 4, ("1",))
            self.perform(self.coordinator.result(start.attempt, result, 0.0))
        self.perform(self.coordinator.tick(9.0))

    def collect(self, cursor):
        batch = self.coordinator.collect("r", cursor, 9, 9.0, waiting=True)
        self.perform(batch.actions)
        return batch.next_cursor

    def steps_started(self):
        return [start.sample.step for start in self.started]


@pytest.mark.parametrize("first", [0, 1])
def test_the_next_step_waits_until_the_trainer_asks_for_it(first):
    service = Service(early_share=0.0)
    service.submit(first)
    service.submit(first + 1)
    assert service.steps_started() == [first] * 2
    service.end_all()
    cursor = service.collect(0)
    assert service.steps_started() == []
    service.collect(cursor)
    assert service.steps_started() == [first + 1] * 2


def test_a_step_submitted_after_the_trainer_asked_starts_at_once():
    service = Service(early_share=0.0)
    service.submit(1)
    service.end_all()
    cursor = service.collect(0)
    service.collect(cursor)
    service.submit(2)
    assert service.steps_started() == [2, 2]


def test_the_early_share_of_the_next_step_starts_before():
    service = Service(early_share=0.5)
    service.submit(1)
    service.submit(2)
    assert service.steps_started() == [1, 1, 2]


def test_a_changed_document_holds_at_once():
    service = Service(early_share=0.0)
    service.submit(1)
    service.submit(2)
    service.end_all()
    configured = service.coordinator.configure(0, 0.0, {"r": 2.0})
    service.perform(configured)
    assert service.steps_started() == [2, 2]
    version = service.coordinator.trainer_version("r", "2", 9.0)
    service.perform(version)
    batch = service.coordinator.collect("r", 0, 9, 9.0)
    assert batch.choices == ()


def hedge():
    """Return a service whose sample on "e" has a second attempt on "f"."""
    service = Service(early_share=1.0)
    coordinator = service.coordinator
    coordinator.replica("e", 1, 1)
    coordinator.replica("f", 1, 1)
    service.submit(1)
    service.perform(coordinator.replica("f", 2, 1))
    assert [start.replica for start in service.started] == ["e", "f"]
    for at in (0.0, 10.0, 20.0):
        tokens = {
            start.attempt: at if start.replica == "f" else 0
            for start in service.started
        }
        service.perform(coordinator.progress(tokens, at))
    slow, _, second = service.started
    assert (second.sample, second.replica) == (slow.sample, "f")
    return service, slow, second


@pytest.mark.parametrize("failing", ["first", "second"])
def test_one_failed_attempt_of_two_starts_no_third(failing):
    service, slow, second = hedge()
    failed, other = slow, second
    if failing == "second":
        failed, other = second, slow
    service.perform(service.coordinator.failed(failed.attempt, 30.0))
    assert len(service.started) == 3
    service.perform(service.coordinator.failed(other.attempt, 30.0))
    assert service.started[3].sample == slow.sample
    assert len(service.started) == 4


def test_the_first_result_of_two_cancels_the_other():
    service, slow, second = hedge()
    result = ledgers.Result("d", 4, ("1",))
    found = service.coordinator.result(second.attempt, result, 30.0)
    cancels = [a for _, a in found if isinstance(a, schedule.Cancel)]
    assert [cancel.attempt for cancel in cancels] == [slow.attempt]
    assert service.coordinator.result(slow.attempt, result, 30.0) == []


def test_a_lost_replica_starts_each_sample_once():
    service, slow, _ = hedge()
    service.perform(service.coordinator.replica_lost("f", 30.0))
    again = service.started[3:]
    assert slow.sample not in [start.sample for start in again]


def test_training_is_learned_though_each_step_is_whole_when_asked():
    service = Service(early_share=1.0)
    service.submit(1)
    service.submit(2)
    service.end_all()
    cursor = 0
    for at in (10.0, 250.0):
        batch = service.coordinator.collect("r", cursor, 2, at)
        assert batch.steps_whole
        cursor = batch.next_cursor
    assert service.coordinator.schedule.training("r").usual_s == 240.0
