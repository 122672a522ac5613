"""What one run used: calls, control bytes, processor time, memory."""

import collections
import os
import resource
import time
import typing

from opentelemetry import metrics
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export

_BYTES = "anvilwell_control_bytes"
_WAITING = "waiting"
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
            sent(self._reader, _BYTES),
            {
                f"{purpose} {kind}": count
                for (purpose, kind), count in self._calls.counts().items()
            },
        )


def sent(reader, name):
    """Return the total of the counter `name` for what was sent."""
    data = reader.get_metrics_data()
    return sum(
        point.value
        for resource_metrics in (data.resource_metrics if data else ())
        for scope in resource_metrics.scope_metrics
        for metric in scope.metrics
        if metric.name == name
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


def add(usages):
    """Return the sum of several processes' `Usage`."""
    calls = collections.Counter()
    for usage in usages:
        calls.update(usage.calls_by_kind)
    return Usage(
        max(one.at_s for one in usages),
        sum(one.cpu_s for one in usages),
        sum(one.sent_bytes for one in usages),
        dict(calls),
    )


class Rates(typing.NamedTuple):
    """What was used a second between two `Usage`."""

    before: Usage
    after: Usage

    @property
    def spent_s(self):
        """The time between them, s."""
        return self.after.at_s - self.before.at_s

    def cpu(self):
        """Return the share of a core."""
        return (self.after.cpu_s - self.before.cpu_s) / self.spent_s

    def sent_bytes(self):
        """Return the control bytes sent a second."""
        sent = self.after.sent_bytes - self.before.sent_bytes
        return sent / self.spent_s

    def calls(self):
        """Return the key-value calls a second, by kind."""
        return {
            kind: (count - self.before.calls_by_kind.get(kind, 0))
            / self.spent_s
            for kind, count in sorted(self.after.calls_by_kind.items())
            if not kind.endswith(_WAITING)
        }


class Cost(typing.NamedTuple):
    """What one change used beyond the idle rates."""

    idle: Rates
    before: Usage
    after: Usage
    changes: int

    def cpu_s(self):
        """Return the processor time, s."""
        return self._of(lambda rates: rates.cpu())

    def sent_bytes(self):
        """Return the control bytes."""
        return self._of(lambda rates: rates.sent_bytes())

    def calls(self):
        """Return the key-value calls, by kind."""
        return {
            kind: self._of(lambda rates, k=kind: rates.calls().get(k, 0.0))
            for kind in self._busy().calls()
        }

    def _busy(self):
        return Rates(self.before, self.after)

    def _of(self, rate):
        busy = self._busy()
        excess = rate(busy) - rate(self.idle)
        return excess * busy.spent_s / self.changes


def waiting(usage):
    """Return the watches that wait at a `Usage`."""
    return sum(
        count
        for kind, count in usage.calls_by_kind.items()
        if kind.endswith(_WAITING)
    )
