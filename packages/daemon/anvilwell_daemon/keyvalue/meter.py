"""Counts calls of the key-value service by purpose."""

import enum

from opentelemetry import metrics

_METER = metrics.get_meter("anvilwell")
_CALLS = _METER.create_counter(
    "anvilwell_keyvalue_calls",
    unit="1",
    description="Calls of the key-value service",
)
_WATCHES = _METER.create_up_down_counter(
    "anvilwell_keyvalue_watches",
    unit="1",
    description="Waiting watches at the key-value service",
)


class Access(enum.StrEnum):
    """The kind of access, used as a metric label."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"


class Outcome(enum.StrEnum):
    """Whether the service answered, used as a metric label."""

    ANSWERED = "answered"
    UNAVAILABLE = "unavailable"


def count_call(purpose, access, outcome):
    """Count one call of the key-value service."""
    labels = {"purpose": purpose, "access": access, "outcome": outcome}
    _CALLS.add(1, {key: str(value) for key, value in labels.items()})


def count_watch(purpose, change):
    """Add `change` (1 or -1) to the number of open watches."""
    _WATCHES.add(change, {"purpose": str(purpose)})
