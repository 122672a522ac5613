"""Figures drawn from measured runs."""

import asyncio

import pytest

from anvilwell_bench.configuration import measure
from anvilwell_bench.configuration import report


def make_result(kind, daemons, idle_calls):
    return measure.Result(
        kind,
        daemons,
        4,
        1.0,
        2.0,
        3.0,
        {"configuration read": 3.0, "configuration write": 1.0},
        {"configuration read": idle_calls},
        daemons,
        0.0,
        0.0,
        0.0,
        0.0,
        0.0,
    )


def test_slope_is_the_line_through_the_sizes():
    results = [make_result("naive", size, 2.0 * size) for size in (5, 20)]
    increase, start = report.slope(
        results, lambda one: one.idle_calls_per_s["configuration read"]
    )
    assert round(increase, 6) == 2.0
    assert abs(start) < 1e-6


def test_target_extrapolates_the_baseline_and_not_ours():
    naive = [make_result("naive", size, 2.0 * size) for size in (5, 20)]
    lines = report.target([make_result("ours", 20, 0.0)], naive)
    assert "0.59 reads/s, 0.20 writes/s, 26 waiting watches" in lines
    assert "1700 calls/s" in lines


@pytest.mark.parametrize("kind", ["ours", "naive"])
def test_both_ways_are_measured(kind):
    plan = measure.Plan(kind, 3, 2, 0.2, measure.QUICK_SETTLE_S)
    result = asyncio.run(measure.measure(plan))
    assert 0 < result.p50_ms <= result.p99_ms <= result.max_ms
    assert round(result.calls_per_change["configuration write"], 1) == 1.0
    assert result.waiting_watches == 3
