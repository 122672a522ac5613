"""Selecting the log lines of an id from the logs of several daemons."""

import json

from anvilwell_client import log_search


def _text(at, event, vm="e1", prefix="", **fields):
    message = {
        "timestamp": at,
        "vm": vm,
        "message_type": f"anvilwell_gateway.some:{event}",
        "task_uuid": "u",
        "task_level": [1],
    }
    return prefix + json.dumps(message | fields)


TEXTS = [
    _text(1.0, "started"),
    _text(90.0, "store-lost", prefix="x"),
    _text(91.0, "replica-gone", replica_id="r1"),
    _text(91.0, "replica-gone", vm="e2", replica_id="r1"),
    _text(92.0, "replica-gone", replica_id="r2"),
    _text(99.0, "batch-accepted", request_id="b1"),
    _text(99.1, "batch-read", batch_id="b1", after=0),
    _text(100.0, "item-run", batch_id="b1", item_id="i1", replica="r1"),
    _text(100.5, "item-run", batch_id="b1", item_id="i2", replica="r2"),
    _text(101.0, "batch-ended", batch_id="b1"),
    _text(101.0, "store-lost", vm="e9"),
    _text(200.0, "item-scoring", item_id="i3", request_id="s3", batch_id="b9"),
    _text(199.9, "attempt-failed", request_id="s3", replica="r3"),
    _text(199.9, "attempt-failed", request_id="s4", replica="r3"),
    "no JSON at all",
    "{broken",
]


def _events(wanted):
    lines, _ = log_search.read(TEXTS)
    return [(line.event, line.at) for line in log_search.select(lines, wanted)]


def test_lines_of_an_item_include_its_runs_batch_and_process_states():
    assert _events("i1") == [
        ("store-lost", 90.0),
        ("replica-gone", 91.0),
        ("batch-accepted", 99.0),
        ("item-run", 100.0),
        ("batch-ended", 101.0),
    ]


def test_lines_of_an_item_include_its_scoring_attempts():
    assert _events("i3") == [
        ("attempt-failed", 199.9),
        ("item-scoring", 200.0),
    ]


def test_unknown_id_has_no_lines():
    assert _events("nobody") == []


def test_lines_with_malformed_json_are_counted():
    lines, unreadable = log_search.read(TEXTS)

    assert (len(lines), unreadable) == (14, 1)
