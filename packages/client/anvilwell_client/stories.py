"""Finds what logs tell of one id."""

import json
import typing

from anvilwell_decisions.traffic import organisations

# What daemons believed shortly before the first line counts too: a lost
# store or replica is noticed within seconds, and acts later.
BEFORE_S = 10.0
AFTER_S = 2.0
_OWN_FIELDS = frozenset(("timestamp", "task_uuid", "task_level"))
# Fields whose values lead on to other lines.
_LINKS = ("batch_id", "request_id", "item_id")
_PLACES = ("replica", "replica_id")
# Events that change what a process believes, whoever asked.
_BELIEFS = frozenset(
    (
        "batch-dropped",
        "batch-let-go",
        "batch-open",
        "batch-taken-over",
        "cannot-start",
        "configuration-in-force",
        "configuration-older",
        "configuration-unreadable",
        "draining",
        "history-gone",
        "peer",
        "registered",
        "started",
        "stopped",
        "store-in-touch",
        "store-lost",
        "store-regained",
    )
)


class Line(typing.NamedTuple):
    """One log line; ``at`` is in seconds of wall time."""

    at: float
    vm: str
    event: str
    fields: dict


def read(lines):
    """Return each `Line` in `lines` of text, and how many are none.

    Text before the JSON of a line, such as a collector's, is ignored.
    """
    found = []
    unreadable = 0
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            message = json.loads(text[start:])
            found.append(_line(message))
        except (ValueError, KeyError, TypeError):
            unreadable += 1
    return found, unreadable


def _line(message):
    event = message["message_type"].rpartition(":")[2]
    fields = {
        key: value
        for key, value in message.items()
        if key not in _OWN_FIELDS and key not in ("message_type", "vm")
    }
    return Line(message["timestamp"], message.get("vm", ""), event, fields)


def tell(lines, wanted):
    """Return the lines that tell the story of id `wanted`, by time.

    These are the lines that name it, those that name the batch or item
    they belong to, what happened to their replicas, and what the
    processes concerned believed around that time.
    """
    own = _own(lines, wanted)
    if not own:
        return []
    batches = {line.fields.get("batch_id") for line in own} - {None}
    replicas = {
        line.fields[key]
        for line in own
        for key in _PLACES
        if line.fields.get(key)
    }
    vms = {line.vm for line in own}
    first = min(line.at for line in own) - BEFORE_S
    last = max(line.at for line in own) + AFTER_S
    around = [
        line
        for line in lines
        if first <= line.at <= last and _tells(line, batches, replicas, vms)
    ]
    by_place = {id(line): line for line in own + around}
    return sorted(by_place.values(), key=lambda line: line.at)


def _own(lines, wanted):
    """Return the lines that name `wanted`, or a scoring call of it.

    Attempts at a score are logged under the scoring call's id alone.
    """
    named = [line for line in lines if _names(line, {wanted})]
    calls = {
        line.fields["request_id"]
        for line in named
        if line.event == "item-scoring"
    }
    return [line for line in lines if _names(line, calls | {wanted})]


def _names(line, ids):
    named = (line.fields.get(key) for key in _LINKS)
    return any(
        one in ids or organisations.unowned_id(one) in ids
        for one in named
        if one
    )


def _tells(line, batches, replicas, vms):
    if line.event.startswith("batch-") and _names(line, batches):
        return line.event != "batch-read"
    if line.vm not in vms:
        return False
    is_replica = line.fields.get("replica_id") in replicas
    return is_replica or line.event in _BELIEFS
