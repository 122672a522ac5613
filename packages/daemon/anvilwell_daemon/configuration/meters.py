"""Counters of the configuration service."""

from opentelemetry import metrics

_METER = metrics.get_meter("anvilwell")
_OUTCOMES = _METER.create_counter(
    "anvilwell_configuration_changes",
    unit="1",
    description="Changes proposed here, by outcome",
)
_BEHIND = _METER.create_counter(
    "anvilwell_configuration_store_behind",
    unit="1",
    description="Reads in which the key-value service had lost writes",
)
_RESOLUTIONS = _METER.create_counter(
    "anvilwell_configuration_resolutions",
    unit="1",
    description="Looks for the outcome of a change whose proposer is silent",
)


def count_outcome(outcome):
    """Count one answer to an operator or trainer."""
    labels = {"outcome": str(outcome.outcome), "reason": outcome.reason}
    _OUTCOMES.add(1, labels)


def count_behind(service):
    """Count one read of older data than is known here."""
    _BEHIND.add(1, {"service": service})


def count_resolution(is_found):
    """Count one look for an outcome."""
    _RESOLUTIONS.add(1, {"found": str(is_found).lower()})
