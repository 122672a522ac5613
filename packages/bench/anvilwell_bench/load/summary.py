"""What a session comes to, from records and metrics pages."""

import collections
import pathlib
import typing

from hdrh import histogram
from prometheus_client import parser

from anvilwell_bench.audit import history
from anvilwell_bench.audit.promises import staleness
from anvilwell_bench.audit import reader

_LOWEST_MS = 1
_HIGHEST_MS = 10 * 60 * 1000
_DIGITS = 3
_MS_PER_S = 1000
_COUNTERS = ("anvilwell_refusals", "anvilwell_retries")


class StepWait(typing.NamedTuple):
    """One step of a run and when its trainer waited for it."""

    run: str
    step: int
    submitted_at: float
    whole_at: float | None


def step_waits(records):
    """Return a `StepWait` for each submitted step."""
    collected = {}
    for sample in history.samples(records):
        key = (sample.run, sample.collected["step"])
        collected.setdefault(key, {})[sample.sample_id] = sample.collected_at
    return [
        _wait(line, collected.get((line["run"], line["step"]), {}))
        for line in records.of("submit")
    ]


def count_whole(records_folder):
    """Return how many steps in the records are whole."""
    waits = step_waits(reader.read(records_folder))
    return sum(wait.whole_at is not None for wait in waits)


def idle_s(records):
    """Return the seconds in which trainers had nothing to do."""
    return sum(line["idle_s"] for line in records.of("collect"))


def latencies(records, *, of_models):
    """Return a histogram, in ms, of whole answers to callers.

    Parameters
    ----------
    of_models : bool
        Count the answers of models, else those of plain services.
    """
    found = histogram.HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _DIGITS)
    asks = {
        ask["ask"]
        for ask in records.of("ask")
        if history.is_model_ask(ask) is of_models
    }
    for line in records.of("answer"):
        if line["whole"] and line["ask"] in asks:
            found.record_value(
                max(_LOWEST_MS, round(line["latency_s"] * _MS_PER_S))
            )
    return found


def counts_by_reason(pages):
    """Return a counter of (metric, reason) over Prometheus `pages`."""
    counts = collections.Counter()
    for page in pages:
        for family in parser.text_string_to_metric_families(page):
            for sample in family.samples:
                if sample.name.removesuffix("_total") in _COUNTERS:
                    name = sample.name.removesuffix("_total")
                    reason = sample.labels["reason"]
                    counts[name, reason] += int(sample.value)
    return counts


def summarize(records_folder, metrics_folder):
    """Return the summary as lines of text."""
    records = reader.read(records_folder)
    waits = step_waits(records)
    whole = sum(wait.whole_at is not None for wait in waits)
    pages = [
        path.read_text(encoding="utf-8")
        for path in sorted(pathlib.Path(metrics_folder).glob("*.prom"))
    ]
    counts = counts_by_reason(pages)
    return [
        f"steps whole: {whole} of {len(waits)}",
        f"trainer idle: {idle_s(records):.2f} s",
        f"staleness max: {max(staleness.ages(records), default=0)} versions",
        _latency_line("live streams", latencies(records, of_models=True)),
        _latency_line("plain calls", latencies(records, of_models=False)),
        *(
            f"{name.removeprefix('anvilwell_')}: {reason} {count}"
            for (name, reason), count in sorted(counts.items())
            if count
        ),
    ]


def _latency_line(what, times):
    return (
        f"{what}: {times.get_total_count()} whole, "
        f"p50 {times.get_value_at_percentile(50):.0f} ms, "
        f"p99 {times.get_value_at_percentile(99):.0f} ms"
    )


def _wait(line, collected_at_by_id):
    wanted = sum(group["samples"] for group in line["groups"])
    is_whole = len(collected_at_by_id) == wanted
    whole_at = max(collected_at_by_id.values()) if is_whole else None
    return StepWait(line["run"], line["step"], line["at"], whole_at)
