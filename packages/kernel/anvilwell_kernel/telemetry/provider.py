"""The OpenTelemetry provider of a process and its Prometheus page."""

import functools

from opentelemetry.exporter import prometheus
from opentelemetry import metrics
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import view
from opentelemetry.sdk import resources
import prometheus_client

from anvilwell_kernel.telemetry import counters

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST
# Upper bounds of histogram buckets, by the unit of the histogram.
_BOUNDS_BY_UNIT = {
    "s": (
        *(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5),
        *(1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0),
    ),
    "By": tuple(float(1 << power) for power in range(6, 25, 2)),
    "{version}": (0.0, 1.0, 2.0, 3.0, 4.0, 6.0, 8.0),
    "1": (0.0, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0, 256.0, 1024.0),
}


@functools.cache
def start():
    """Set the provider of the process; later calls have no effect."""
    reader = prometheus.PrometheusMetricReader(
        disable_target_info=True, scope_info_enabled=False
    )
    provider = sdk.MeterProvider(
        metric_readers=[reader],
        resource=resources.Resource.create({"service.name": "anvilwell"}),
        views=[_histogram_view(unit) for unit in _BOUNDS_BY_UNIT],
    )
    metrics.set_meter_provider(provider)
    counters.register_reasons()


def page():
    """Return the current metrics in Prometheus format, as bytes."""
    return prometheus_client.generate_latest()


def _histogram_view(unit):
    return view.View(
        instrument_type=sdk.Histogram,
        instrument_unit=unit,
        aggregation=view.ExplicitBucketHistogramAggregation(
            _BOUNDS_BY_UNIT[unit]
        ),
    )
