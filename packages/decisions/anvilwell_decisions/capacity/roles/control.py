"""Capacity figures of the control traffic of every daemon."""

import math

from anvilwell_decisions.capacity import assumptions
from anvilwell_decisions.capacity import rows
from anvilwell_decisions.capacity import target
from anvilwell_decisions.configuration import limits
from anvilwell_decisions.membership import detector
from anvilwell_decisions.membership import rings

ROLE = "every daemon"
# A heartbeat and its answer, for those that this daemon sends and those that
# it receives. The same applies to exchanges of configuration digests.
_MESSAGES_PER_HEARTBEAT = 4
_MESSAGES_PER_EXCHANGE = 4
_EDGES = 2 * rings.RINGS
_US = 1e6
_MS = 1e3


def messages_s(fleet, lines):
    """Return the control messages a second of one daemon, both ways."""
    heartbeats_s = rings.RINGS / detector.HEARTBEAT_PERIOD_S
    exchanges_s = 1 / limits.Limits().exchange_s
    return (
        _MESSAGES_PER_HEARTBEAT * heartbeats_s
        + _MESSAGES_PER_EXCHANGE * exchanges_s
        + _EDGES * _member_updates_s(fleet)
    )


def bytes_s(fleet, lines):
    """Return the control bytes a second of one daemon, with headers."""
    exchanges_s = 1 / limits.Limits().exchange_s
    digest = lines["configuration.digest.bytes"].at(1)
    record = lines["membership.news.bytes"].slope
    return (
        2 * lines["membership.quiet.bytes"].at(fleet.daemons)
        + _MESSAGES_PER_EXCHANGE * exchanges_s * digest
        + _EDGES * _member_updates_s(fleet) * record
        + _change_bytes_s(fleet, lines)
        + messages_s(fleet, lines) * assumptions.HEADER_BYTES
    )


def cpu_share(fleet, lines):
    """Return the cores that one daemon needs for control."""
    decisions_us = (
        lines["membership.quiet.cpu"].at(fleet.daemons)
        + lines["configuration.digest.cpu"].at(fleet.services)
        + _EDGES
        * _member_updates_s(fleet)
        * lines["membership.change.cpu"].at(fleet.daemons)
    )
    # The measured cost is that of both ends of a message.
    messages_us = (
        messages_s(fleet, lines) * lines["control.messages.cpu"].slope / 2
    )
    return (decisions_us + messages_us) / _US


def memory_bytes(fleet, lines):
    """Return the memory that a daemon needs in every role."""
    base = lines["daemon.base.bytes"].slope
    return base + lines["membership.table.bytes"].at(fleet.daemons)


def detection_s(fleet, lines):
    """Return the seconds until all daemons have recorded a leaving VM."""
    hops = math.log2(max(fleet.daemons, 2)) / math.log2(_EDGES - 1)
    hop_s = lines["control.messages.cpu"].slope / _US + 0.1
    return 1.0 + math.ceil(hops) * hop_s


def _member_updates_s(fleet):
    replaced = fleet.replaced_day + fleet.failures_day
    return assumptions.CHANGES_REPLACED * replaced / target.DAY_S


def _change_bytes_s(fleet, lines):
    """Return the bytes a second of prepares and commits, with answers."""
    prepare = lines["configuration.prepare.bytes"].at(1)
    commit = lines["configuration.commit.bytes"].at(1)
    return fleet.changes_s * 2 * (prepare + commit)


FIGURES = (
    rows.Figure(
        ROLE,
        "control messages",
        "messages/s",
        messages_s,
        "4 x rings / period + 4 x exchanges/s + edges x news/s",
        (),
        "heartbeats on hashed rings; one digest a second",
        reading=rows.Reading.APART,
    ),
    rows.Figure(
        ROLE,
        "control bytes, without load reports",
        "bytes/s",
        bytes_s,
        "2 x quiet(daemons) + digests + news + changes"
        " + messages/s x header bytes",
        (
            "membership.quiet.bytes",
            "membership.news.bytes",
            "configuration.digest.bytes",
            "configuration.prepare.bytes",
            "configuration.commit.bytes",
        ),
        "neighbour graph of fixed degree; news crosses each edge once",
        target.BUDGET.bytes_s,
        rows.Reading.APART,
    ),
    rows.Figure(
        ROLE,
        "control CPU, without load reports",
        "cores",
        cpu_share,
        "ticks(daemons) + digest(services) + news x change"
        " + messages/s x message / 2",
        (
            "membership.quiet.cpu",
            "membership.change.cpu",
            "configuration.digest.cpu",
            "control.messages.cpu",
        ),
        "cost of a tick does not grow with the fleet",
        target.BUDGET.cpu_share,
        rows.Reading.APART,
    ),
    rows.Figure(
        ROLE,
        "memory: code and the table of members",
        "bytes",
        memory_bytes,
        "base + table(daemons)",
        ("daemon.base.bytes", "membership.table.bytes"),
        "one record a member, merged in place",
        target.BUDGET.memory_bytes,
        rows.Reading.APART,
    ),
    rows.Figure(
        ROLE,
        "a leaving VM known everywhere",
        "s",
        detection_s,
        "1 s of the VM list's reading + ceil(log(daemons) / log(edges - 1))"
        " x (a tick of 0.1 s + a message)",
        ("control.messages.cpu",),
        "expander of hashed rings: news takes O(log n) hops",
        3.0,
        rows.Reading.APART,
    ),
)
