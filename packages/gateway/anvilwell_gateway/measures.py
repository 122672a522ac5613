"""The metrics of a gateway process: histograms, counters and gauges."""

import typing

from opentelemetry import metrics

_METER = metrics.get_meter("anvilwell")

LIVE_CALLS = _METER.create_histogram(
    "anvilwell_live_call_duration",
    unit="s",
    description="Time to the end of a live call, by route and status",
)
SUBMISSIONS = _METER.create_histogram(
    "anvilwell_submission_duration",
    unit="s",
    description="Time until a batch is accepted or refused, by status",
)
RUNS = _METER.create_histogram(
    "anvilwell_item_run_duration",
    unit="s",
    description="Time of one run of an item at a replica, by how it ended",
)
SCORINGS = _METER.create_histogram(
    "anvilwell_scoring_duration",
    unit="s",
    description="Time of one round of scoring attempts, by how it ended",
)
STORE_CALLS = _METER.create_histogram(
    "anvilwell_store_call_duration",
    unit="s",
    description="Time of a call to the key-value service, by kind and path",
)
MOVES = _METER.create_counter(
    "anvilwell_item_moves",
    unit="1",
    description="Completed items that moved, by whether that saved time",
)
MOVES_SAVED_S = _METER.create_up_down_counter(
    "anvilwell_item_moves_saved",
    unit="s",
    description="Seconds that moves of items saved, less those they cost",
)
COLD_LIMITS = _METER.create_counter(
    "anvilwell_cold_limits",
    unit="1",
    description="Times that a replica's limit held requests back, by service",
)
GAUGES_BY_NAME = {
    name: _METER.create_gauge(f"anvilwell_{name}", description=description)
    for name, description in (
        ("configuration_version", "Version of the configuration in force"),
        ("configuration_age_s", "Seconds since that version was adopted"),
        (
            "configuration_copy_age_s",
            "Seconds since it was known that there is no newer version",
        ),
        ("registered", "Whether this VM's live key is in the store"),
        ("store_in_touch", "Whether the store answered lately"),
        ("store_through_peer", "Whether a peer relays calls to the store"),
        ("peers", "Live entries"),
        ("replicas", "Replicas that accept new work, by service"),
        ("domains_evacuated", "Failure domains that are evacuated"),
        ("cold_replicas", "Replicas that count as cold, by service"),
        ("batches", "Batches that this entry owns"),
        ("bytes_held", "Bytes buffered for slow callers and peers"),
        ("items_waiting", "Items of these batches that wait for a replica"),
        ("items_running", "Items of these batches that run"),
        ("places_borrowed", "Replica slots borrowed from other homes"),
        ("places_lent", "Replica slots lent to other homes"),
        ("items_unscored", "Items of these batches that wait for a score"),
        ("requests_held_back", "Requests held back as they crash replicas"),
        ("reports_usage", "Whether this entry reports usage"),
        ("reports_unsent", "Recorded usage windows not reported yet"),
        ("versions_wanted", "Newest version requested, by model"),
    )
}


class GaugeValue(typing.NamedTuple):
    """The current value of a gauge; ``of`` is its label, "" for none."""

    name: str
    value: float
    of: str = ""


def record(histogram, seconds, **labels):
    """Record a duration, in seconds."""
    histogram.record(seconds, labels)


def set_gauges(values):
    """Set each gauge to its `GaugeValue`."""
    for value in values:
        labels = {"of": value.of} if value.of else {}
        GAUGES_BY_NAME[value.name].set(value.value, labels)


def count_cold_limit(service):
    """Count that requests wait for a replica that may be cold."""
    COLD_LIMITS.add(1, {"service": service})


def count_move(gained_s):
    """Count a completed item that moved, and the seconds that it gained."""
    MOVES.add(1, {"end": "gained" if gained_s > 0 else "lost"})
    MOVES_SAVED_S.add(gained_s)
