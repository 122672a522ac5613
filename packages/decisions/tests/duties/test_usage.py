"""Counts by window of true time, and what follows from them."""

from anvilwell_decisions.duties import usage
import hypothesis
from hypothesis import strategies as st
import pytest

WINDOW_S = 5.0


def _told(life="life", since=0.0, through=100.0, counts=(), number=1):
    return usage.ProcessCounts("vm", life, number, 0.0, since, through, counts)


def _counts(window, **by_organisation):
    return usage.WindowCounts(window, by_organisation)


def test_requests_are_counted_in_windows_of_true_time():
    counter = usage.RequestCounter()
    for at in (0.5, 2.4, 2.6, 7.4):
        counter.add("schools", at)
    counter.add("association", 2.6)

    # The local clock began 2.5 s before the end of window 9.
    counts = counter.counts(offset_s=47.5, window_s=WINDOW_S)

    assert counts == (
        _counts(9, schools=2),
        _counts(10, schools=2, association=1),
    )


def test_what_is_old_is_dropped():
    counter = usage.RequestCounter()
    counter.add("schools", 1.0)
    counter.add("schools", 9.0)
    counter.forget(before=5.0)

    assert counter.counts(0.0, WINDOW_S) == (_counts(1, schools=1),)


@hypothesis.given(
    st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 60)), max_size=50),
    st.floats(0, 1e9),
)
def test_each_request_is_in_one_window(begun, offset_s):
    counter = usage.RequestCounter()
    for organisation, at in begun:
        counter.add(organisation, at)

    counted = sum(
        sum(counts.by_organisation.values())
        for counts in counter.counts(offset_s, WINDOW_S)
    )
    assert counted == len(begun)


def test_a_report_sums_what_all_tell_and_counts_nothing_twice():
    collected = usage.CollectedCounts(WINDOW_S)
    # Told first, by a clock that was an hour ahead.
    collected.add(_told("a", through=3611.0, counts=(_counts(722, lake=1),)))
    collected.add(_told("a", counts=(_counts(2, schools=3),), number=3))
    # Late on its way: it was told before the one above.
    collected.add(_told("a", counts=(_counts(2, schools=2),), number=2))
    collected.add(
        _told("b", counts=(_counts(2, schools=1, lake=2), _counts(3, lake=9)))
    )

    assert collected.report(2) == usage.WindowReport(
        2, {"schools": 4, "lake": 2}
    )


def test_a_window_is_whole_once_all_that_live_have_told_of_its_end():
    collected = usage.CollectedCounts(WINDOW_S)
    collected.add(_told("a", through=15.0))
    collected.add(_told("b", through=14.9))

    assert collected.is_complete(2, ["a"])
    assert not collected.is_complete(2, ["a", "b"])
    assert not collected.is_complete(2, ["a", "c"])


@pytest.mark.parametrize(
    ("since", "through", "is_known"),
    [(10.0, 15.0, True), (10.1, 20.0, False), (0.0, 14.9, False)],
)
def test_a_window_that_nobody_counted_through_is_not_known(
    since, through, is_known
):
    """All VMs were lost in it: what had begun before is not known."""
    collected = usage.CollectedCounts(WINDOW_S)
    collected.add(_told(since=since, through=through))

    assert collected.is_known(2) == is_known


def test_the_ledger_keeps_what_may_have_to_be_sent_again():
    ledger = usage.Ledger()
    for window in range(5):
        ledger = usage.add_report(
            ledger, usage.WindowReport(window, {}), max_reports=3
        )

    assert ledger.last == 4
    assert [report.window for report in ledger.reports] == [2, 3, 4]


def test_the_ledger_keeps_what_was_gathered_of_windows_to_come():
    done = _told("a", counts=(_counts(1, schools=1),))
    open_ = _told("b", counts=(_counts(1, schools=1), _counts(2, lake=1)))
    ledger = usage.Ledger(0, (), (done, open_))

    ledger = usage.add_report(ledger, usage.WindowReport(1, {}), max_reports=3)
    assert ledger.told == (open_,)
    ledger = usage.add_report(ledger, usage.WindowReport(2, {}), max_reports=3)
    assert ledger.told == ()


def test_true_time_is_known_by_the_clocks_of_most():
    true_time = usage.TrueTime()
    true_time.record("a", 100.0, 0.0)

    assert true_time.is_known(1)
    assert not true_time.is_known(2)
    true_time.record("b", 100.0, 0.0)
    assert true_time.is_known(3)


@hypothesis.given(
    st.lists(st.floats(-0.02, 0.02), min_size=3, max_size=9),
    st.floats(-3600, 3600),
    st.data(),
)
def test_true_time_holds_while_most_clocks_are_right(errors, wrong, data):
    """Clocks of the day differ by milliseconds; some jump by more."""
    true_time = usage.TrueTime()
    most = (len(errors) - 1) // 2
    wrong_ones = data.draw(st.sets(st.sampled_from(range(len(errors)))))
    wrong_ones = set(sorted(wrong_ones)[:most])
    for number, error in enumerate(errors):
        off = wrong if number in wrong_ones else error
        true_time.record(f"vm-{number}", 1000.0 + off, 10.0)

    assert abs(true_time.offset_s - 990.0) <= 0.02 + 1e-6


def test_a_clock_that_is_not_heard_any_more_does_not_count():
    true_time = usage.TrueTime()
    true_time.record("gone", 500.0, 1.0)
    true_time.record("here", 100.0, 30.0)
    true_time.forget(before=10.0)

    assert true_time.offset_s == 70.0
