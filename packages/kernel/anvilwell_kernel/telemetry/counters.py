"""The counters that every process keeps."""

from opentelemetry import metrics

from anvilwell_kernel import reasons

_METER = metrics.get_meter("anvilwell")

REFUSALS = _METER.create_counter(
    "anvilwell_refusals", unit="1", description="Refusals by reason"
)
RETRIES = _METER.create_counter(
    "anvilwell_retries", unit="1", description="Retries by reason"
)
UNREADABLE = _METER.create_counter(
    "anvilwell_unreadable_entries",
    unit="1",
    description=(
        "Entries of the store and statements of load that can't be"
        " understood, by kind"
    ),
)
HTTP_DURATION = _METER.create_histogram(
    "anvilwell_http_duration",
    unit="s",
    description="Time until the head of an HTTP answer, by rule and status",
)


def count_refusal(reason, service=""):
    """Count one refusal for `reason` (a ``reasons.Refusal``).

    `service` must be a configured service's name: each value makes a
    new series.
    """
    REFUSALS.add(1, {"reason": str(reason), "service": service})


def count_retry(reason, service=""):
    """Count one retry for `reason` (a ``reasons.Retry``)."""
    RETRIES.add(1, {"reason": str(reason), "service": service})


def count_unreadable(kind):
    """Count one entry of `kind` that can't be understood."""
    UNREADABLE.add(1, {"kind": kind})


def record_response(rule, status, duration_s):
    """Record one HTTP answer and how long its head took."""
    HTTP_DURATION.record(duration_s, {"rule": rule, "status": status})


def register_reasons():
    """Show every reason with a count of 0 until it occurs."""
    for refusal in reasons.Refusal:
        REFUSALS.add(0, {"reason": str(refusal), "service": ""})
    for retry in reasons.Retry:
        RETRIES.add(0, {"reason": str(retry), "service": ""})
