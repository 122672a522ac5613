"""Counts control messages and bytes by kind and direction."""

from opentelemetry import metrics

_METER = metrics.get_meter("anvilwell")
_MESSAGES = _METER.create_counter(
    "anvilwell_control_messages",
    unit="1",
    description="Control messages by kind and direction",
)
_BYTES = _METER.create_counter(
    "anvilwell_control_bytes",
    unit="By",
    description="Control bytes by kind and direction, frames only",
)
_DIALS = _METER.create_counter(
    "anvilwell_control_dials",
    unit="1",
    description="Control links dialled by outcome",
)


def count_sent(kind, size):
    """Count one message of class `kind` and `size` bytes sent."""
    _count(kind, size, "sent")


def count_received(kind, size):
    """Count one message of class `kind` and `size` bytes received."""
    _count(kind, size, "received")


def count_dial(outcome):
    """Count one dial that ended in `outcome`."""
    _DIALS.add(1, {"outcome": outcome})


def _count(kind, size, direction):
    labels = {"kind": kind.__name__, "direction": direction}
    _MESSAGES.add(1, labels)
    _BYTES.add(size, labels)
