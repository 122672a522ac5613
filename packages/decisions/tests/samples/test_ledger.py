"""Tests that a ledger delivers each sample once, at a stable position."""

import pytest

from anvilwell_decisions.samples import actions
from anvilwell_decisions.samples import identity
from anvilwell_decisions.samples import ledger as ledgers
from anvilwell_decisions.samples import records
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons

STEP = identity.Step("r", 1, "lm", (identity.Group("g", "p", 2, 8),))
FIRST, SECOND = STEP.sample_ids()


def result(digest="d", versions=("7",)):
    return ledgers.Result(digest, 5, versions)


def kinds(found):
    return [type(action) for action in found]


class Run:
    """A ledger whose chunks are written to a dict by `land`."""

    def __init__(self, log=None, bound=1, fencing=1, scored=False, base=None):
        self.log = {} if log is None else log
        self.ledger = ledgers.Ledger(
            "r", f"e{fencing}", fencing, bound=bound, scored=scored
        )
        self.land(self.ledger.recover(dict(self.log), 0.0, base))

    def land(self, found):
        """Carry out all `WriteChunk` actions; return the other actions."""
        others = []
        found = list(found)
        while found:
            action = found.pop(0)
            if not isinstance(action, actions.WriteChunk):
                others.append(action)
                continue
            there = self.log.setdefault(action.number, action.entries)
            if there == action.entries:
                found += self.ledger.written(action.number, 0.0)
            else:
                found += self.ledger.write_conflict(action.number, there, 0.0)
        return others

    def finish(self, sample_id, outcome):
        self.land(self.ledger.result(sample_id, outcome, 0.0))
        self.land(
            self.ledger.replicated(sample_id, outcome.digest, ["a", "b"], 0.0)
        )
        return self.land(self.ledger.tick(1.0))

    def collect(self, cursor, limit=10):
        batch = self.ledger.collect(cursor, limit, 0.0)
        self.others = self.land(batch.actions)
        return batch


def test_submit_is_idempotent_and_conflicts_on_other_content():
    run = Run()
    found = run.land(run.ledger.submit(STEP, 0.0))
    assert kinds(found) == [actions.Accepted] + [actions.Generate] * 2
    assert run.ledger.submit(STEP, 0.0) == [actions.Accepted(1)]
    other = STEP._replace(groups=(identity.Group("g", "q", 2, 8),))
    with pytest.raises(exceptions.Conflict):
        run.ledger.submit(other, 0.0)


def test_step_0_is_a_step_like_any_other():
    run = Run()
    first = STEP._replace(step=0)
    found = run.land(run.ledger.submit(first, 0.0))
    assert kinds(found) == [actions.Accepted] + [actions.Generate] * 2
    for sample_id in first.sample_ids():
        run.finish(sample_id, result())
    assert run.collect(0).steps_whole == (0,)
    again = Run(log=run.log, fencing=2)
    assert again.ledger.open_steps() == [first]


def test_first_result_counts_and_the_second_is_dropped():
    run = Run()
    run.land(run.ledger.submit(STEP, 0.0))
    run.finish(FIRST, result("one"))
    dropped, _ = run.ledger.result(FIRST, result("two"), 0.0)
    assert dropped.reason == reasons.Refusal.DUPLICATE_SAMPLE
    assert [c.digest for c in run.collect(0).choices] == ["one"]


def test_nothing_is_delivered_before_it_is_recorded():
    run = Run()
    run.land(run.ledger.submit(STEP, 0.0))
    run.ledger.result(FIRST, result(), 0.0)
    run.ledger.replicated(FIRST, "d", ["a", "b"], 0.0)
    (write,) = run.ledger.tick(9.0)
    assert run.collect(0).choices == ()
    run.ledger.write_unknown(9.0)
    assert run.collect(0).choices == ()
    assert run.ledger.tick(11.0) == [write]


def test_repeated_collect_gives_the_same_and_the_step_is_whole_once():
    run = Run()
    run.land(run.ledger.submit(STEP, 0.0))
    run.finish(FIRST, result("one"))
    assert run.collect(0).steps_whole == ()
    run.finish(SECOND, result("two"))
    assert run.collect(0) == run.collect(0)
    assert run.collect(0).steps_whole == (1,)
    assert run.collect(2).choices == ()
    assert [c.digest for c in run.collect(0).choices] == ["one", "two"]


def test_two_holders_race_and_one_steps_down():
    old = Run()
    old.land(old.ledger.submit(STEP, 0.0))
    new = Run(old.log, fencing=2)
    found = old.finish(FIRST, result("old"))
    assert found == [actions.StepDown("e2")]
    with pytest.raises(exceptions.Refused):
        old.ledger.collect(0, 1, 0.0)
    new.finish(FIRST, result("new"))
    new.land(new.ledger.bytes_found(0))
    assert [c.digest for c in new.collect(0).choices] == ["new"]


def test_recovery_keeps_positions_and_asks_for_the_rest():
    old = Run()
    old.land(old.ledger.submit(STEP, 0.0))
    old.finish(FIRST, result("one"))
    new = ledgers.Ledger("r", "e2", 2, bound=1)
    (write,) = new.recover(old.log, 0.0)
    found = new.written(write.number, 0.0)
    assert actions.Generate(SECOND) in found
    (fetch,) = [a for a in found if isinstance(a, actions.Fetch)]
    assert (fetch.position, fetch.choice.digest) == (0, "one")
    assert new.collect(0, 9, 0.0).choices == ()
    new.bytes_found(0)
    assert len(new.collect(0, 9, 0.0).choices) == 1


def test_lost_bytes_are_redone_only_when_asked_for_twice():
    old = Run()
    old.land(old.ledger.submit(STEP, 0.0))
    old.finish(FIRST, result("one"))
    new = Run(old.log, fencing=2)
    new.ledger.bytes_lost(0)
    first = new.collect(0)
    assert first.at_once
    assert first.voids == ()
    assert new.collect(0).voids == (records.Void(0, "lost"),)
    assert new.ledger.wants(FIRST)
    new.finish(FIRST, result("two"))
    batch = new.collect(0)
    assert [c.digest for c in batch.choices] == ["two"]
    assert batch.next_cursor == 2


def test_a_delayed_collect_gives_nothing_up():
    old = Run()
    old.land(old.ledger.submit(STEP, 0.0))
    old.finish(FIRST, result("one"))
    new = Run(old.log, fencing=2)
    new.ledger.bytes_lost(0)
    new.collect(0)
    new.collect(1)
    assert new.collect(0).voids == ()
    assert not new.ledger.wants(FIRST)


def test_over_age_result_is_dropped_and_redone():
    run = Run()
    run.land(run.ledger.submit(STEP, 0.0))
    run.land(run.ledger.trainer_version("9", 0.0))
    found = run.ledger.result(FIRST, result(versions=("7", "9")), 0.0)
    assert kinds(found) == [
        actions.Dropped,
        actions.Discard,
        actions.Generate,
    ]
    assert found[0].reason == reasons.Retry.STALE_VERSION


def test_recorded_sample_that_grows_too_old_before_it_is_sent_is_redone():
    run = Run()
    run.land(run.ledger.submit(STEP, 0.0))
    run.finish(FIRST, result("old"))
    found = run.land(run.ledger.trainer_version("9", 0.0))
    assert actions.Generate(FIRST) in found
    run.finish(FIRST, result("new", ("9",)))
    assert [c.digest for c in run.collect(0).choices] == ["new"]


def test_trainer_version_outlives_the_holder():
    old = Run()
    old.land(old.ledger.submit(STEP, 0.0))
    old.land(old.ledger.trainer_version("9", 0.0))
    new = Run(old.log, fencing=2)
    found = new.ledger.result(FIRST, result(), 0.0)
    assert kinds(found) == [
        actions.Dropped,
        actions.Discard,
        actions.Generate,
    ]


def test_scores_come_late_twice_and_after_failures():
    run = Run(scored=True)
    run.land(run.ledger.submit(STEP, 0.0))
    found = run.ledger.result(FIRST, result(), 0.0)
    assert actions.Score(FIRST, "d") in found
    run.ledger.not_done(FIRST, "d", 0.0)
    assert run.ledger.tick(1.0) == [actions.Score(FIRST, "d")]
    assert kinds(run.ledger.scored(FIRST, "d", 0.5, 1.0)) == [
        actions.Replicate
    ]
    assert run.ledger.scored(FIRST, "d", 0.7, 1.0) == []
    run.land(run.ledger.replicated(FIRST, "d", ["a", "b"], 1.0))
    run.land(run.ledger.tick(9.0))
    assert run.collect(0).choices[0].score == 0.5


def test_group_commit_writes_many_choices_in_one_chunk():
    run = Run()
    run.land(run.ledger.submit(STEP, 0.0))
    for sample_id in (FIRST, SECOND):
        run.ledger.result(sample_id, result(), 0.0)
        run.ledger.replicated(sample_id, "d", ["a", "b"], 0.0)
    (write,) = run.ledger.tick(1.0)
    assert [entry.sample for entry in write.entries] == [FIRST, SECOND]


def test_a_cursor_that_was_never_answered_is_refused():
    run = Run()
    with pytest.raises(exceptions.BadRequest):
        run.ledger.collect(1, 1, 0.0)


def test_groups_named_twice_are_refused():
    group = identity.Group("g", "p", 1, 8)
    with pytest.raises(exceptions.BadRequest):
        Run().ledger.submit(STEP._replace(groups=(group, group)), 0.0)


def test_an_answer_that_comes_after_all_is_not_asked_for_again():
    run = Run(scored=True)
    run.land(run.ledger.submit(STEP, 0.0))
    run.ledger.result(FIRST, result(), 0.0)
    run.ledger.not_done(FIRST, "d", 0.0)
    run.ledger.scored(FIRST, "d", 0.5, 0.5)
    run.land(run.ledger.replicated(FIRST, "d", ["a", "b"], 0.5))
    assert run.land(run.ledger.tick(9.0)) == [actions.Deliverable(1)]


def do_steps(run, numbers):
    """Complete whole steps of `run`; return the last collect's actions."""
    cursor = run.ledger.delivery.end
    for number in numbers:
        step = STEP._replace(step=number)
        run.land(run.ledger.submit(step, 0.0))
        for sample_id in step.sample_ids():
            run.finish(sample_id, result(str(sample_id)))
            run.land(run.ledger.bytes_found(cursor))
            cursor += 1
        run.collect(cursor)
    return run.others


def test_finished_steps_are_forgotten_but_the_last():
    run = Run()
    found = do_steps(run, [1, 2, 3])
    discarded = [a.sample for a in found if isinstance(a, actions.Discard)]
    assert [sample.step for sample in discarded] == [2, 2]
    assert run.ledger.submit(STEP, 0.0) == [actions.Accepted(1)]
    with pytest.raises(exceptions.BadRequest):
        run.collect(0)
    # A fetch may end after its bytes are no longer needed.
    run.ledger.bytes_lost(0)
    run.ledger.bytes_found(1)
    assert len(run.collect(4).choices) == 2


def test_recovery_from_a_trimmed_log_keeps_positions():
    old = Run()
    old.land(old.ledger.trainer_version("8", 0.0))
    (trim,) = (
        action
        for action in do_steps(old, [1, 2, 3])
        if isinstance(action, actions.Trim)
    )
    kept = {n: c for n, c in old.log.items() if n >= trim.base.chunk}
    assert len(kept) < len(old.log)
    for log in (kept, dict(old.log)):
        new = Run(log, fencing=2, base=trim.base)
        assert new.ledger.delivery.end == 6
        assert new.ledger.recorded_version == "8"
        assert new.ledger.has_step(1)
        new.ledger.bytes_found(4)
        assert new.collect(4, limit=1).choices[0].sample.step == 3
