"""The figures of a relay measurement."""

from hdrh import histogram
import pytest

from anvilwell_bench.relay import report
from anvilwell_bench.relay import streams
from anvilwell_bench.relay import usage

PAGE = """# TYPE process_cpu_seconds_total counter
process_cpu_seconds_total 1.5
# TYPE process_resident_memory_bytes gauge
process_resident_memory_bytes 2048
"""


def _result(first_ms):
    first_us = histogram.HdrHistogram(1, 10_000_000, 3)
    first_us.record_value(first_ms * 1000)
    return streams.Result(10.0, 20, 1, 1000, first_us, first_us)


def test_latency_is_the_difference():
    lines = report.latency_lines(_result(10), _result(15))
    assert lines[0] == (
        "first token: p50 10.0 -> 15.0 ms (+5.0), p99 10.0 -> 15.0 ms (+5.0)"
    )


def test_load_is_given_per_core():
    costs = {"entry": report.Cost(5.0, 40960)}
    lines = report.load_lines(_result(1), costs, 10)
    assert lines == [
        "answers: 20 whole, 1 failed in 10.0 s",
        "rate: 2.0 requests/s, 100 tokens/s",
        "entry: 0.500 cores, 4 requests/s and 200 tokens/s per core,"
        " 4 KiB a stream",
    ]


def test_usage_comes_from_the_metrics_page():
    assert usage.parse(PAGE) == usage.Usage(1.5, 2048)
    with pytest.raises(KeyError):
        usage.parse("")
