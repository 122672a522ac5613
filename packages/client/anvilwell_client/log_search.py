"""Finds the log lines that concern one id."""

import json
import typing

from anvilwell_decisions.traffic import organisations

# State changes are included from this many seconds before the first line that
# names the id until this many after the last. A process detects a lost store
# or replica within seconds, and requests are affected only later.
BEFORE_S = 10.0
AFTER_S = 2.0
# Fields that the log library adds to each line and `explain` leaves out.
_LIBRARY_FIELDS = frozenset(("timestamp", "task_uuid", "task_level"))
# Fields whose values link a line to other lines of the same work.
_ID_FIELDS = ("batch_id", "request_id", "item_id")
_REPLICA_FIELDS = ("replica", "replica_id")
# Events that change the state of a process, whichever request they belong to.
_STATE_EVENTS = frozenset(
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
    """One log line; ``at`` is the wall-clock time in seconds."""

    at: float
    vm: str
    event: str
    fields: dict


def read(lines):
    """Parse `lines` of text and count those that are unreadable.

    Text before the JSON of a line, such as the prefix of a log
    collector, is ignored. Lines without JSON are skipped, not counted.
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
        if key not in _LIBRARY_FIELDS and key not in ("message_type", "vm")
    }
    return Line(message["timestamp"], message.get("vm", ""), event, fields)


def select(lines, wanted):
    """Return the lines that concern the id `wanted`, ordered by time.

    These are the lines that name it, those about the batches that they
    belong to, and, from the VMs that logged them, the events of their
    replicas and the state changes around that time.
    """
    matching = _matching(lines, wanted)
    if not matching:
        return []
    batches = {line.fields.get("batch_id") for line in matching} - {None}
    replicas = {
        line.fields[key]
        for line in matching
        for key in _REPLICA_FIELDS
        if line.fields.get(key)
    }
    vms = {line.vm for line in matching}
    first = min(line.at for line in matching) - BEFORE_S
    last = max(line.at for line in matching) + AFTER_S
    around = [
        line
        for line in lines
        if first <= line.at <= last
        and _is_context(line, batches, replicas, vms)
    ]
    by_identity = {id(line): line for line in matching + around}
    return sorted(by_identity.values(), key=lambda line: line.at)


def _matching(lines, wanted):
    """Return the lines that name `wanted` or one of its scoring calls.

    Scoring attempts are logged only under the id of the scoring call.
    """
    named = [line for line in lines if _names_any(line, {wanted})]
    calls = {
        line.fields["request_id"]
        for line in named
        if line.event == "item-scoring"
    }
    return [line for line in lines if _names_any(line, calls | {wanted})]


def _names_any(line, ids):
    """Return whether an id field of `line` is in `ids`.

    An id that starts with an organisation also matches without it.
    """
    named = (line.fields.get(key) for key in _ID_FIELDS)
    return any(
        one in ids or organisations.unowned_id(one) in ids
        for one in named
        if one
    )


def _is_context(line, batches, replicas, vms):
    """Return whether a line belongs to the context of the selected lines.

    That is an event of their batches, or, from one of their VMs, an
    event of their replicas or a change of the process's state.
    """
    if line.event.startswith("batch-") and _names_any(line, batches):
        return line.event != "batch-read"
    if line.vm not in vms:
        return False
    is_replica = line.fields.get("replica_id") in replicas
    return is_replica or line.event in _STATE_EVENTS
