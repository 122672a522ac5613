"""Requests are counted by window of true time and reported once."""

from anvilwell_decisions.duties import usage
import hypothesis
from hypothesis import strategies as st
import pytest

WINDOW_S = 5.0


def _process_counts(
    life="life", since=0.0, through=100.0, counts=(), number=1
):
    return usage.ProcessCounts("vm", life, number, 0.0, since, through, counts)


def _counts(window, **by_organisation):
    return usage.WindowCounts(window, by_organisation)


def test_requests_are_counted_in_windows_of_true_time():
    counter = usage.RequestCounter()
    for at in (0.5, 2.4, 2.6, 7.4):
        counter.add("schools", at)
    counter.add("association", 2.6)

    # The local clock started 2.5 s before the end of window 9.
    counts = counter.counts(offset_s=47.5, window_s=WINDOW_S)

    assert counts == (
        _counts(9, schools=2),
        _counts(10, schools=2, association=1),
    )


def test_old_requests_are_dropped():
    counter = usage.RequestCounter()
    counter.add("schools", 1.0)
    counter.add("schools", 9.0)
    counter.forget(before=5.0)

    assert counter.counts(0.0, WINDOW_S) == (_counts(1, schools=1),)


@hypothesis.given(
    st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 60)), max_size=50),
    st.floats(0, 1e9),
)
def test_each_request_is_in_one_window(requests, offset_s):
    counter = usage.RequestCounter()
    for organisation, at in requests:
        counter.add(organisation, at)

    counted = sum(
        sum(counts.by_organisation.values())
        for counts in counter.counts(offset_s, WINDOW_S)
    )
    assert counted == len(requests)


def test_a_report_sums_all_processes_and_counts_nothing_twice():
    collected = usage.CollectedCounts(WINDOW_S)
    # The first message came from a clock that was an hour ahead.
    collected.add(
        _process_counts("a", through=3611.0, counts=(_counts(722, lake=1),))
    )
    collected.add(
        _process_counts("a", counts=(_counts(2, schools=3),), number=3)
    )
    # This message was sent before the one above and arrived later.
    collected.add(
        _process_counts("a", counts=(_counts(2, schools=2),), number=2)
    )
    collected.add(
        _process_counts(
            "b", counts=(_counts(2, schools=1, lake=2), _counts(3, lake=9))
        )
    )

    assert collected.report(2) == usage.WindowReport(
        2, {"schools": 4, "lake": 2}
    )


def test_a_window_is_complete_once_all_live_processes_reported_it():
    collected = usage.CollectedCounts(WINDOW_S)
    collected.add(_process_counts("a", through=15.0))
    collected.add(_process_counts("b", through=14.9))

    assert collected.is_complete(2, ["a"])
    assert not collected.is_complete(2, ["a", "b"])
    assert not collected.is_complete(2, ["a", "c"])


@pytest.mark.parametrize(
    ("since", "through", "is_known"),
    [(10.0, 15.0, True), (10.1, 20.0, False), (0.0, 14.9, False)],
)
def test_a_window_that_no_process_counted_fully_is_unknown(
    since, through, is_known
):
    """All VMs were lost during it, so what had begun before is unknown."""
    collected = usage.CollectedCounts(WINDOW_S)
    collected.add(_process_counts(since=since, through=through))

    assert collected.is_known(2) == is_known


def test_the_ledger_keeps_reports_that_may_be_sent_again():
    ledger = usage.Ledger()
    for window in range(5):
        ledger = usage.add_report(
            ledger, usage.WindowReport(window, {}), max_reports=3
        )

    assert ledger.last == 4
    assert [report.window for report in ledger.reports] == [2, 3, 4]


def test_the_ledger_keeps_counts_of_unsettled_windows():
    done = _process_counts("a", counts=(_counts(1, schools=1),))
    open_ = _process_counts(
        "b", counts=(_counts(1, schools=1), _counts(2, lake=1))
    )
    ledger = usage.Ledger(0, (), (done, open_))

    ledger = usage.add_report(ledger, usage.WindowReport(1, {}), max_reports=3)
    assert ledger.told == (open_,)
    ledger = usage.add_report(ledger, usage.WindowReport(2, {}), max_reports=3)
    assert ledger.told == ()


def test_true_time_needs_the_clocks_of_most_vms():
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
def test_true_time_is_right_while_most_clocks_are(errors, wrong, data):
    """Right clocks differ by milliseconds; wrong ones by up to an hour."""
    true_time = usage.TrueTime()
    most = (len(errors) - 1) // 2
    wrong_ones = data.draw(st.sets(st.sampled_from(range(len(errors)))))
    wrong_ones = set(sorted(wrong_ones)[:most])
    for number, error in enumerate(errors):
        off = wrong if number in wrong_ones else error
        true_time.record(f"vm-{number}", 1000.0 + off, 10.0)

    assert abs(true_time.offset_s - 990.0) <= 0.02 + 1e-6


def test_an_old_reading_of_a_clock_does_not_count():
    true_time = usage.TrueTime()
    true_time.record("gone", 500.0, 1.0)
    true_time.record("here", 100.0, 30.0)
    true_time.forget(before=10.0)

    assert true_time.offset_s == 70.0
