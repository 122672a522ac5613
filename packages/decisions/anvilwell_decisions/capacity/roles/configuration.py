"""Capacity figures of configuration changes."""

from anvilwell_decisions.capacity import assumptions
from anvilwell_decisions.capacity import rows
from anvilwell_decisions.capacity import target

ROLE = "configuration"
# Round trips between regions for one change.
ROUND_TRIPS = 3
# Duration of one call to the key-value service.
KEYVALUE_CALL_S = 0.01
# Duration of a round trip between two regions.
REGION_ROUND_TRIP_S = 0.2
_US = 1e6


def members(fleet):
    """Return the members that prepare a change of the largest service."""
    return fleet.entries + assumptions.LARGEST_SERVICE * fleet.replicas


def changes_s(fleet, lines):
    """Return the changes a second."""
    return fleet.changes_s


def in_force_s(fleet, lines):
    """Return the seconds until a proposed change is in force everywhere."""
    count = members(fleet)
    message_s = lines["control.messages.cpu"].slope / _US
    relay_s = 2 * count / fleet.failure_domains * message_s
    decide_s = lines["configuration.propose.cpu"].at(count) / _US
    calls_s = 4 * KEYVALUE_CALL_S
    trips_s = ROUND_TRIPS * REGION_ROUND_TRIP_S
    return calls_s + decide_s + 2 * relay_s + trips_s


def proposer_cpu_share(fleet, lines):
    """Return the cores of an entry if it proposes every change."""
    propose = lines["configuration.propose.cpu"].at(members(fleet))
    return fleet.changes_s * propose / _US


def relay_bytes_s(fleet, lines):
    """Return the bytes a second of a daemon that relays every change."""
    count = members(fleet) / fleet.failure_domains
    prepare = lines["configuration.prepare.bytes"]
    commit = lines["configuration.commit.bytes"]
    forwarded = count * (prepare.at(1) + commit.at(1))
    received = prepare.at(count) + commit.at(count)
    answers = count * 2 * assumptions.HEADER_BYTES
    headers = 2 * count * assumptions.HEADER_BYTES
    return fleet.changes_s * (forwarded + received + answers + headers)


def accept_bytes(fleet, lines):
    """Return the bytes of the accepting write of the largest service."""
    return lines["configuration.accept.bytes"].at(members(fleet))


FIGURES = (
    rows.Figure(
        ROLE,
        "changes",
        "changes/s",
        changes_s,
        "changes a day / 86,400 s",
        (),
        "one compare-and-swap accepts a change",
    ),
    rows.Figure(
        ROLE,
        "a change in force everywhere",
        "s",
        in_force_s,
        "4 calls x 10 ms + propose(members)"
        " + 4 x members / domains x message + 3 trips x 0.2 s",
        ("configuration.propose.cpu", "control.messages.cpu"),
        "prepare and commit through a relay in each domain",
        target.TARGET.spread_s,
        rows.Reading.APART,
        "use two relays in large domains",
    ),
    rows.Figure(
        ROLE,
        "proposer's CPU, one entry for all changes",
        "cores",
        proposer_cpu_share,
        "changes/s x propose(members)",
        ("configuration.propose.cpu",),
        "O(members) work on one daemon, once a change",
        target.BUDGET.cpu_share,
        rows.Reading.APART,
        "have the relays merge answers",
    ),
    rows.Figure(
        ROLE,
        "a relay's bytes, one daemon for all changes",
        "bytes/s",
        relay_bytes_s,
        "changes/s x (prepare + commit, received and forwarded)",
        ("configuration.prepare.bytes", "configuration.commit.bytes"),
        "relays are chosen anew for each change",
        None,
        rows.Reading.APART,
    ),
    rows.Figure(
        ROLE,
        "the accepting write of the largest service",
        "bytes",
        accept_bytes,
        "accept(members)",
        ("configuration.accept.bytes",),
        "member lists in the write's condition",
        assumptions.KEYVALUE_VALUE_BYTES,
        rows.Reading.APART,
        "shard the member lists",
    ),
)
