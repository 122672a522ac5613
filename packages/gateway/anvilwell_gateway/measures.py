"""What a gateway process measures: times of its work, and its beliefs."""

import typing

from opentelemetry import metrics

_METER = metrics.get_meter("anvilwell")

LIVE_CALLS = _METER.create_histogram(
    "anvilwell_live_call_duration",
    unit="s",
    description="Time until a live call is answered, by route and status",
)
SUBMISSIONS = _METER.create_histogram(
    "anvilwell_submission_duration",
    unit="s",
    description="Time until a batch is accepted or refused, by status",
)
RUNS = _METER.create_histogram(
    "anvilwell_item_run_duration",
    unit="s",
    description="Time of one run of an item at a replica, by its end",
)
SCORINGS = _METER.create_histogram(
    "anvilwell_scoring_duration",
    unit="s",
    description="Time of one round of attempts at a score, by its end",
)
STORE_CALLS = _METER.create_histogram(
    "anvilwell_store_call_duration",
    unit="s",
    description="Time of a call to the key-value service, by kind and path",
)
MOVES = _METER.create_counter(
    "anvilwell_item_moves",
    unit="1",
    description="Items that moved and are whole, by whether that saved time",
)
MOVES_SAVED_S = _METER.create_up_down_counter(
    "anvilwell_item_moves_saved",
    unit="s",
    description="Seconds that moves saved, less those that they cost",
)
GAUGES_BY_NAME = {
    name: _METER.create_gauge(f"anvilwell_{name}", description=description)
    for name, description in (
        ("configuration_version", "Version of the configuration in force"),
        ("configuration_age_s", "Seconds since that version was taken"),
        ("registered", "Whether the live key is believed to be there"),
        ("store_in_touch", "Whether the store answered lately"),
        ("store_through_peer", "Whether the store is called by a peer"),
        ("peers", "Entries that are known to live"),
        ("replicas", "Replicas that may take new work, by service"),
        ("batches", "Batches that this entry owns"),
        ("bytes_held", "Bytes held for callers and peers that read slowly"),
        ("items_waiting", "Items of those that wait for a replica"),
        ("items_running", "Items of those that run"),
        ("places_borrowed", "Places of replicas that other homes lend it"),
        ("places_lent", "Places of replicas that it lends other homes"),
        ("items_unscored", "Items of those whose text waits for a score"),
        ("requests_held_back", "Requests held back as they end replicas"),
        ("reports_usage", "Whether this entry reports usage"),
        ("reports_unsent", "Recorded windows that are not reported"),
        ("versions_wanted", "Newest version that was asked for, by model"),
    )
}


class GaugeValue(typing.NamedTuple):
    """One value that a process goes by now; ``of`` tells of what."""

    name: str
    value: float
    of: str = ""


def record(histogram, seconds, **labels):
    """Record a duration, in seconds."""
    histogram.record(seconds, labels)


def set_gauges(values):
    """Set the gauges to each `GaugeValue`."""
    for value in values:
        labels = {"of": value.of} if value.of else {}
        GAUGES_BY_NAME[value.name].set(value.value, labels)


def count_move(gained_s):
    """Count an item that moved, and what that saved, in seconds."""
    MOVES.add(1, {"end": "gained" if gained_s > 0 else "lost"})
    MOVES_SAVED_S.add(gained_s)
