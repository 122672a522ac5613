"""Results are listed by whole groups, once, and for good."""

from anvilwell_decisions.batches import book as books
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


def _book(**kwargs):
    return books.Book(_submission(), 2, **kwargs)


def _finish(book, item_id, version=1):
    progress = book.progress_by_id[item_id]
    number = progress.last_number + 1
    progress.add(facts.Event(number, f"text {item_id}"), version)
    book.done(item_id)


def test_a_group_is_listed_once_it_is_whole():
    book = _book()

    _finish(book, "00")
    assert book.ready() == []
    _finish(book, "01")
    results = book.ready()

    assert [one.item_id for one in results] == ["00", "01"]
    assert results[0] == facts.Result("00", True, "text 00", (1,))
    book.list(results)
    assert book.ready() == []


def test_an_item_is_given_up_after_its_failures():
    book = _book()
    book.failed("00")
    assert "00" in book.waiting()

    book.failed("00")

    assert book.state("00") is books.State.GIVEN_UP
    _finish(book, "01")
    assert book.ready()[0] == facts.Result("00", False)


def _scored_book():
    return books.Book(_submission(is_scored=True), 2)


def test_a_whole_text_is_listed_only_with_its_score():
    book = _scored_book()
    _finish(book, "00")
    _finish(book, "01")

    assert book.unscored() == ["00", "01"]
    assert "00" not in book.waiting()
    assert book.ready() == []
    for item_id in ("00", "01"):
        book.scoring_started(item_id)
        book.scored(item_id, f"seal {item_id}")

    assert book.unscored() == []
    assert [one.score for one in book.ready()] == ["seal 00", "seal 01"]


def test_groups_that_lack_least_are_scored_first():
    book = _scored_book()
    for item_id in ("00", "10", "11"):
        _finish(book, item_id)
    book.scoring_started("10")
    book.scored("10", "seal")

    assert book.unscored() == ["11", "00"]


def test_only_failures_of_the_scorer_itself_give_an_item_up():
    book = _scored_book()
    _finish(book, "00")

    for failures, state in (
        (0, books.State.UNSCORED),
        (2, books.State.UNSCORED),
        (0, books.State.UNSCORED),
        (1, books.State.GIVEN_UP),
    ):
        book.scoring_started("00")
        book.scoring_stopped("00", failures, 3)
        assert book.state("00") is state


def test_a_score_after_the_item_was_given_up_changes_nothing():
    book = _scored_book()
    _finish(book, "00")
    book.scoring_started("00")
    book.give_up_rest()

    book.scored("00", "seal")
    book.scoring_stopped("00")

    assert book.state("00") is books.State.GIVEN_UP


def test_an_ended_batch_wants_no_scores():
    book = _scored_book()
    _finish(book, "00")

    book.end()

    assert book.unscored() == []


@pytest.mark.parametrize(
    ("score", "state"),
    [
        (None, books.State.UNSCORED),
        (progresses.Score("another call", "seal"), books.State.UNSCORED),
        (progresses.Score("score-00", "seal"), books.State.DONE),
    ],
)
def test_a_saved_text_keeps_the_score_of_the_same_call(score, state):
    book = _scored_book()

    book.adopt([], [progresses.Saved("00", ("a",), (1,), True, score)])

    assert book.state("00") is state
    assert book.waiting() == ["01", "10", "11", "20", "21"]


def test_a_text_that_begins_anew_has_no_score():
    saved = progresses.Saved(
        "00", ("a",), (1,), True, progresses.Score("c", "s")
    )
    progress = progresses.Progress.from_saved(saved)
    assert progress.save() == saved

    progress.restart()

    assert progress.score is None


def test_an_ended_batch_wants_nothing_more():
    book = _book()
    _finish(book, "00")
    _finish(book, "01")

    book.end()

    assert book.waiting() == []
    assert book.ready() == []
    assert book.is_settled
    assert [one.item_id for one in book.unfinished()] == ["00", "01"]


def _saved(item_id, versions, is_complete=False):
    return progresses.Saved(item_id, ("a", "b"), versions, is_complete)


def test_earlier_texts_are_used_if_the_bounds_allow():
    book = books.Book(_submission(min_version=3), 2, one_version=True)

    book.adopt(
        [],
        [
            _saved("00", (3,)),
            _saved("01", (2,)),
            _saved("10", (3, 4)),
            _saved("11", (4,), True),
            _saved("zz", (4,)),
        ],
    )

    known = {k: p.last_number for k, p in book.progress_by_id.items()}
    assert known == {"00": 2, "01": 0, "10": 0, "11": 2, "20": 0, "21": 0}
    assert book.state("11") is books.State.DONE


def test_what_an_earlier_owner_listed_keeps_its_place():
    book = _book()
    listed = [facts.Result("10", True, "x", (1,)), facts.Result("11", False)]

    book.adopt(listed, [_saved("10", (1,))])

    assert book.listed == listed
    assert not {"10", "11"} & set(book.waiting())


def test_events_come_in_order_and_once():
    progress = progresses.Progress("x")
    progress.add(facts.Event(1, "a"), 5)

    for number in (1, 3):
        with pytest.raises(progresses.Gap):
            progress.add(facts.Event(number, "b"), 5)
    progress.add(facts.Event(2, "b"), 6)

    assert progress.result() == facts.Result("x", True, "a\nb", (5, 6))


class BookMachine(stateful.RuleBasedStateMachine):
    """Any order of runs, ends of runs and listings."""

    def __init__(self):
        super().__init__()
        self.book = _scored_book()
        self.positions = []

    items = strategies.sampled_from(
        [f"{g}{n}" for g in range(GROUPS) for n in range(SIZE)]
    )

    @stateful.rule(item_id=items)
    def start(self, item_id):
        if item_id in self.book.waiting():
            self.book.started(item_id)

    @stateful.rule(item_id=items, how=strategies.sampled_from(["d", "f", "g"]))
    def end_run(self, item_id, how):
        if self.book.state(item_id) is not books.State.RUNNING:
            return
        if how == "d":
            _finish(self.book, item_id)
        elif how == "f":
            self.book.failed(item_id)
        else:
            self.book.give_up(item_id)

    @stateful.rule(item_id=items)
    def start_scoring(self, item_id):
        if item_id in self.book.unscored():
            self.book.scoring_started(item_id)

    @stateful.rule(item_id=items, how=strategies.sampled_from(["s", "f", "l"]))
    def end_scoring(self, item_id, how):
        if self.book.state(item_id) is not books.State.SCORING:
            return
        if how == "s":
            self.book.scored(item_id, "seal")
        else:
            self.book.scoring_stopped(item_id, int(how == "f"), 2)

    @stateful.rule(count=strategies.integers(0, 4))
    def commit(self, count):
        self.book.list(self.book.ready()[:count])

    @stateful.invariant()
    def positions_never_change(self):
        listed = self.book.listed
        assert listed[: len(self.positions)] == self.positions
        self.positions = list(listed)
        ids = [one.item_id for one in listed]
        assert len(set(ids)) == len(ids)
        assert all(one.score for one in listed if one.is_complete)


TestBook = BookMachine.TestCase
TestBook.settings = hypothesis.settings(max_examples=60, deadline=None)
