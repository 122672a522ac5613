"""The metrics that every process has."""

from opentelemetry import metrics

from anvilwell_kernel import reasons

_METER = metrics.get_meter("anvilwell")

REFUSALS = _METER.create_counter(
    "anvilwell_refusals", unit="1", description="Refusals by reason"
)
RETRIES = _METER.create_counter(
    "anvilwell_retries", unit="1", description="Retries by reason"
)
NEW_CONNECTIONS = _METER.create_counter(
    "anvilwell_new_connections",
    unit="1",
    description="New connections to replicas, by kind of work and reason",
)
OTHER_RESPONSES = _METER.create_counter(
    "anvilwell_other_responses",
    unit="1",
    description="Responses of replicas that are not to the request sent last",
)
UNREADABLE = _METER.create_counter(
    "anvilwell_unreadable_entries",
    unit="1",
    description=(
        "Entries of the store and load reports that can't be decoded, by kind"
    ),
)
HTTP_DURATION = _METER.create_histogram(
    "anvilwell_http_duration",
    unit="s",
    description="Time until the head of an HTTP response, by rule and status",
)


def count_refusal(reason, service=""):
    """Count one refusal for `reason` (a ``reasons.Refusal``).

    `service` must be the name of a configured service, because each new
    value creates a time series.
    """
    REFUSALS.add(1, {"reason": str(reason), "service": service})


def count_retry(reason, service=""):
    """Count one retry for `reason` (a ``reasons.Retry``)."""
    RETRIES.add(1, {"reason": str(reason), "service": service})


def count_new_connection(work, reason):
    """Count one new connection to a replica.

    Parameters
    ----------
    work : reasons.Work
        The kind of work that needed the connection.
    reason : reasons.NewConnection
        Why no pooled connection was used.
    """
    NEW_CONNECTIONS.add(1, {"kind": str(work), "reason": str(reason)})


def count_other_response():
    """Count one response of a replica that is not to the latest request."""
    OTHER_RESPONSES.add(1)


def count_unreadable(kind):
    """Count one entry of `kind` that can't be decoded."""
    UNREADABLE.add(1, {"kind": kind})


def record_response(rule, status, duration_s):
    """Record an HTTP response and the time until its head was ready."""
    HTTP_DURATION.record(duration_s, {"rule": rule, "status": status})


def register_reasons():
    """Export every reason with a count of 0 before it first occurs."""
    for refusal in reasons.Refusal:
        REFUSALS.add(0, {"reason": str(refusal), "service": ""})
    for retry in reasons.Retry:
        RETRIES.add(0, {"reason": str(retry), "service": ""})
