"""What one run used: calls, control bytes, processor time, memory."""

import os
import resource
import time
import typing

from opentelemetry import metrics
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export

_BYTES = "anvilwell_control_bytes"
_PAGE_BYTES = resource.getpagesize()


class Usage(typing.NamedTuple):
    """Totals of the process so far; seconds and bytes."""

    at_s: float
    cpu_s: float
    sent_bytes: int
    calls_by_kind: dict


class Meter:
    """Reads the totals of all daemons in this process.

    Parameters
    ----------
    reader : export.InMemoryMetricReader
        Holds the daemons' own counters.
    calls : meter.CallMeter
        Counts key-value calls.
    """

    def __init__(self, reader, calls):
        self._reader = reader
        self._calls = calls

    def read(self):
        """Return the `Usage` now."""
        return Usage(
            time.monotonic(),
            time.process_time(),
            self._sent_bytes(),
            {
                f"{purpose} {kind}": count
                for (purpose, kind), count in self._calls.counts().items()
            },
        )

    def _sent_bytes(self):
        data = self._reader.get_metrics_data()
        return sum(
            point.value
            for resource_metrics in (data.resource_metrics if data else ())
            for scope in resource_metrics.scope_metrics
            for metric in scope.metrics
            if metric.name == _BYTES
            for point in metric.data.data_points
            if point.attributes["direction"] == "sent"
        )


def make_reader():
    """Return a reader of this process's counters, set up once."""
    reader = export.InMemoryMetricReader()
    metrics.set_meter_provider(sdk.MeterProvider([reader]))
    return reader


def resident_bytes():
    """Return the process's resident memory."""
    with open(f"/proc/{os.getpid()}/statm") as statm:
        return int(statm.read().split()[1]) * _PAGE_BYTES


def calls_between(before, after):
    """Return the calls made between two `Usage`, by kind."""
    return {
        kind: count - before.calls_by_kind.get(kind, 0)
        for kind, count in sorted(after.calls_by_kind.items())
        if not kind.endswith("waiting")
    }


def waiting(usage):
    """Return the watches that wait at a `Usage`."""
    return sum(
        count
        for kind, count in usage.calls_by_kind.items()
        if kind.endswith("waiting")
    )
