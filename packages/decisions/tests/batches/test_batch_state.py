"""Results are listed by complete groups, once and permanently."""

from anvilwell_decisions.batches import batch_state as batch_states
from anvilwell_decisions.batches import progress as progresses
from anvilwell_decisions.traffic import facts
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

GROUPS = 3
SIZE = 2


def _call(item_id):
    return facts.ScoringCall(f"score-{item_id}", "host", "/score", b"")


def _submission(min_version=1, is_scored=False):
    items = tuple(
        facts.Item(
            f"{group}{number}",
            "/",
            (),
            b"",
            f"g{group}",
            scoring_call=_call(f"{group}{number}") if is_scored else None,
        )
        for group in range(GROUPS)
        for number in range(SIZE)
    )
    return facts.Submission("b", "host", "/", items, "m", min_version)


def _batch_state(**kwargs):
    return batch_states.BatchState(_submission(), 2, **kwargs)


def _finish(batch_state, item_id, version=1):
    progress = batch_state.progress_by_id[item_id]
    number = progress.last_number + 1
    progress.add(facts.Event(number, f"text {item_id}"), version)
    batch_state.mark_text_complete(item_id)


def test_a_group_is_listed_once_it_is_complete():
    batch_state = _batch_state()

    _finish(batch_state, "00")
    assert batch_state.listable_results() == []
    _finish(batch_state, "01")
    results = batch_state.listable_results()

    assert [one.item_id for one in results] == ["00", "01"]
    assert results[0] == facts.Result("00", True, "text 00", (1,))
    batch_state.mark_listed(results)
    assert batch_state.listable_results() == []


def test_an_item_is_abandoned_after_its_failures():
    batch_state = _batch_state()
    batch_state.count_failure("00")
    assert "00" in batch_state.waiting_ids()

    batch_state.count_failure("00")

    assert batch_state.state("00") is batch_states.ItemState.ABANDONED
    _finish(batch_state, "01")
    assert batch_state.listable_results()[0] == facts.Result("00", False)


def _scored_batch_state():
    return batch_states.BatchState(_submission(is_scored=True), 2)


def test_a_complete_text_is_listed_only_with_its_score():
    batch_state = _scored_batch_state()
    _finish(batch_state, "00")
    _finish(batch_state, "01")

    assert batch_state.unscored_ids() == ["00", "01"]
    assert "00" not in batch_state.waiting_ids()
    assert batch_state.listable_results() == []
    for item_id in ("00", "01"):
        batch_state.mark_scoring(item_id)
        batch_state.mark_scored(item_id, f"seal {item_id}")

    assert batch_state.unscored_ids() == []
    assert [one.score for one in batch_state.listable_results()] == [
        "seal 00",
        "seal 01",
    ]


def test_groups_with_fewest_missing_items_are_scored_first():
    batch_state = _scored_batch_state()
    for item_id in ("00", "10", "11"):
        _finish(batch_state, item_id)
    batch_state.mark_scoring("10")
    batch_state.mark_scored("10", "seal")

    assert batch_state.unscored_ids() == ["11", "00"]


def test_only_failures_of_the_scorer_itself_abandon_an_item():
    batch_state = _scored_batch_state()
    _finish(batch_state, "00")

    for failures, state in (
        (0, batch_states.ItemState.UNSCORED),
        (2, batch_states.ItemState.UNSCORED),
        (0, batch_states.ItemState.UNSCORED),
        (1, batch_states.ItemState.ABANDONED),
    ):
        batch_state.mark_scoring("00")
        batch_state.mark_not_scored("00", failures, 3)
        assert batch_state.state("00") is state


def test_a_score_for_an_abandoned_item_is_ignored():
    batch_state = _scored_batch_state()
    _finish(batch_state, "00")
    batch_state.mark_scoring("00")
    batch_state.abandon_rest()

    batch_state.mark_scored("00", "seal")
    batch_state.mark_not_scored("00")

    assert batch_state.state("00") is batch_states.ItemState.ABANDONED


def test_no_items_of_an_ended_batch_are_scored():
    batch_state = _scored_batch_state()
    _finish(batch_state, "00")

    batch_state.mark_ended()

    assert batch_state.unscored_ids() == []


@pytest.mark.parametrize(
    ("score", "state"),
    [
        (None, batch_states.ItemState.UNSCORED),
        (
            progresses.Score("another call", "seal"),
            batch_states.ItemState.UNSCORED,
        ),
        (progresses.Score("score-00", "seal"), batch_states.ItemState.DONE),
    ],
)
def test_a_saved_text_keeps_the_score_of_the_same_call(score, state):
    batch_state = _scored_batch_state()

    batch_state.restore(
        [], [progresses.SavedProgress("00", ("a",), (1,), True, score)]
    )

    assert batch_state.state("00") is state
    assert batch_state.waiting_ids() == ["01", "10", "11", "20", "21"]


def test_a_restart_drops_the_score():
    saved = progresses.SavedProgress(
        "00", ("a",), (1,), True, progresses.Score("c", "s")
    )
    progress = progresses.Progress.from_saved(saved)
    assert progress.save() == saved

    progress.restart()

    assert progress.score is None


def test_no_items_of_an_ended_batch_run_or_are_listed():
    batch_state = _batch_state()
    _finish(batch_state, "00")
    _finish(batch_state, "01")

    batch_state.mark_ended()

    assert batch_state.waiting_ids() == []
    assert batch_state.listable_results() == []
    assert batch_state.needs_no_runs
    assert [one.item_id for one in batch_state.unlisted_progress()] == [
        "00",
        "01",
    ]


def _saved(item_id, versions, is_complete=False):
    return progresses.SavedProgress(item_id, ("a", "b"), versions, is_complete)


def test_earlier_texts_are_used_if_the_bounds_allow():
    batch_state = batch_states.BatchState(
        _submission(min_version=3), 2, one_version=True
    )

    batch_state.restore(
        [],
        [
            _saved("00", (3,)),
            _saved("01", (2,)),
            _saved("10", (3, 4)),
            _saved("11", (4,), True),
            _saved("zz", (4,)),
        ],
    )

    known = {k: p.last_number for k, p in batch_state.progress_by_id.items()}
    assert known == {"00": 2, "01": 0, "10": 0, "11": 2, "20": 0, "21": 0}
    assert batch_state.state("11") is batch_states.ItemState.DONE


def test_results_listed_by_an_earlier_owner_keep_their_positions():
    batch_state = _batch_state()
    listed = [facts.Result("10", True, "x", (1,)), facts.Result("11", False)]

    batch_state.restore(listed, [_saved("10", (1,))])

    assert batch_state.listed == listed
    assert not {"10", "11"} & set(batch_state.waiting_ids())


def test_events_come_in_order_and_once():
    progress = progresses.Progress("x")
    progress.add(facts.Event(1, "a"), 5)

    for number in (1, 3):
        with pytest.raises(progresses.EventGap):
            progress.add(facts.Event(number, "b"), 5)
    progress.add(facts.Event(2, "b"), 6)

    assert progress.result() == facts.Result("x", True, "a\nb", (5, 6))


class BatchStateMachine(stateful.RuleBasedStateMachine):
    """Runs, scoring calls and listings in any order."""

    def __init__(self):
        super().__init__()
        self.batch_state = _scored_batch_state()
        self.positions = []

    items = strategies.sampled_from(
        [f"{g}{n}" for g in range(GROUPS) for n in range(SIZE)]
    )

    @stateful.rule(item_id=items)
    def start(self, item_id):
        if item_id in self.batch_state.waiting_ids():
            self.batch_state.mark_running(item_id)

    @stateful.rule(item_id=items, how=strategies.sampled_from(["d", "f", "g"]))
    def end_run(self, item_id, how):
        if (
            self.batch_state.state(item_id)
            is not batch_states.ItemState.RUNNING
        ):
            return
        if how == "d":
            _finish(self.batch_state, item_id)
        elif how == "f":
            self.batch_state.count_failure(item_id)
        else:
            self.batch_state.abandon(item_id)

    @stateful.rule(item_id=items)
    def start_scoring(self, item_id):
        if item_id in self.batch_state.unscored_ids():
            self.batch_state.mark_scoring(item_id)

    @stateful.rule(item_id=items, how=strategies.sampled_from(["s", "f", "l"]))
    def end_scoring(self, item_id, how):
        if (
            self.batch_state.state(item_id)
            is not batch_states.ItemState.SCORING
        ):
            return
        if how == "s":
            self.batch_state.mark_scored(item_id, "seal")
        else:
            self.batch_state.mark_not_scored(item_id, int(how == "f"), 2)

    @stateful.rule(count=strategies.integers(0, 4))
    def commit(self, count):
        self.batch_state.mark_listed(
            self.batch_state.listable_results()[:count]
        )

    @stateful.invariant()
    def positions_never_change(self):
        listed = self.batch_state.listed
        assert listed[: len(self.positions)] == self.positions
        self.positions = list(listed)
        ids = [one.item_id for one in listed]
        assert len(set(ids)) == len(ids)
        assert all(one.score for one in listed if one.is_complete)


TestBatchState = BatchStateMachine.TestCase
TestBatchState.settings = hypothesis.settings(max_examples=60, deadline=None)


def _handed_over(batch_state):
    """Return the state of the next owner, restored from what was saved."""
    restored = _batch_state()
    restored.restore([], batch_state.unlisted_failures())
    return restored


def test_failures_of_an_item_count_over_all_owners():
    """Guards against an item that fails at each run and never ends."""
    first = _batch_state()
    first.count_failure("00")
    second = _handed_over(first)
    assert second.state("00") is batch_states.ItemState.WAITING
    second.count_failure("00")
    assert second.state("00") is batch_states.ItemState.ABANDONED


def test_an_abandoned_item_is_not_run_by_the_next_owner():
    """Guards against running an item again that can never be done."""
    batch_state = _batch_state()
    batch_state.abandon("00")
    second = _handed_over(batch_state)
    assert "00" not in second.waiting_ids()
    _finish(second, "01")
    assert [one.is_complete for one in second.listable_results()] == [
        False,
        True,
    ]


def test_failures_remain_if_the_text_may_not_be_used():
    """Guards against counting anew after a change of the versions."""
    saved = progresses.SavedProgress("00", ("a",), (1,), False, failures=1)
    batch_state = batch_states.BatchState(_submission(min_version=2), 2)
    batch_state.restore([], [saved])
    assert batch_state.progress_by_id["00"].events == []
    batch_state.count_failure("00")
    assert batch_state.state("00") is batch_states.ItemState.ABANDONED


def test_failed_scoring_calls_count_over_all_owners():
    """Guards against scoring an item again that was given up for it."""
    batch_state = batch_states.BatchState(_submission(is_scored=True), 2)
    _finish(batch_state, "00")
    batch_state.mark_scoring("00")
    batch_state.mark_not_scored("00", failures=2, max_failures=2)
    second = batch_states.BatchState(_submission(is_scored=True), 2)
    second.restore([], batch_state.unlisted_failures())
    assert second.state("00") is batch_states.ItemState.ABANDONED
