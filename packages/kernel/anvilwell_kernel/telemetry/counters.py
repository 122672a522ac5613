"""The counters that every process keeps."""

from opentelemetry import metrics

_METER = metrics.get_meter("anvilwell")

REFUSALS = _METER.create_counter(
    "anvilwell_refusals", unit="1", description="Refusals by reason"
)
RETRIES = _METER.create_counter(
    "anvilwell_retries", unit="1", description="Retries by reason"
)


def count_refusal(reason, service=""):
    """Count one refusal for `reason` (a ``reasons.Refusal``)."""
    REFUSALS.add(1, {"reason": str(reason), "service": service})


def count_retry(reason, service=""):
    """Count one retry for `reason` (a ``reasons.Retry``)."""
    RETRIES.add(1, {"reason": str(reason), "service": service})
