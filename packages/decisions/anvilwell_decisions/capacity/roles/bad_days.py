"""Capacity figures under failures: lost racks, partitions and outages."""

from anvilwell_decisions.capacity import assumptions
from anvilwell_decisions.capacity.roles import configuration
from anvilwell_decisions.capacity.roles import entry
from anvilwell_decisions.capacity.roles import keyvalue
from anvilwell_decisions.capacity.roles import rollout
from anvilwell_decisions.capacity import rows
from anvilwell_decisions.capacity import target
from anvilwell_decisions.membership import news
from anvilwell_decisions.membership import rings
from anvilwell_decisions.rollout import grants

ROLE = "bad days"
# Durations of the network partition and the store outage in the figures.
PARTITION_S = 300.0
OUTAGE_S = 3600.0
# Time for a lease to expire and for a candidate to see it.
LEASE_WAIT_S = 15.0
# Longest pause between two attempts to join.
JOIN_LONGEST_DELAY_S = 4.0
KEYVALUE_CALL_S = configuration.KEYVALUE_CALL_S
_EDGES = 2 * rings.RINGS


def _spread_s(lost, lines):
    """Return the seconds until `lost` losses have spread everywhere."""
    return lines["membership.loss.time"].at(lost)


def rack_s(fleet, lines):
    """Return the seconds until the loss of a rack has spread everywhere."""
    return _spread_s(
        min(assumptions.RACK_VMS, domain_vms(fleet, lines)), lines
    )


def domain_vms(fleet, lines):
    """Return the daemons that are lost with a failure domain."""
    return fleet.daemons / fleet.failure_domains


def domain_s(fleet, lines):
    """Return the seconds until the loss of a domain has spread everywhere."""
    return _spread_s(domain_vms(fleet, lines), lines)


def storm_bytes_s(fleet, lines):
    """Return an entry's control bytes a second at the limit of updates."""
    record = lines["membership.news.bytes"].slope
    return entry.control_bytes_s(fleet, lines) + 2 * news.RATE_PER_S * record


def storm_cpu_share(fleet, lines):
    """Return an entry's cores for control at the limit of updates."""
    updates_s = 2 * news.RATE_PER_S
    change_us = lines["membership.change.cpu"].at(fleet.daemons)
    return entry.control_cpu_share(fleet, lines) + updates_s * change_us / 1e6


def delayed_changes(fleet, lines):
    """Return the changes a day that fail as an entry has just failed."""
    entries_share = fleet.entries / fleet.daemons
    unknown_s = lines["membership.loss.time"].at(1)
    return fleet.failures_day * entries_share * unknown_s * fleet.changes_s


def cut_load(fleet, lines):
    """Return the relative load of the other regions if one is cut off."""
    if fleet.regions == 1:
        return float("inf")
    return fleet.regions / (fleet.regions - 1)


def refused_changes(fleet, lines):
    """Return the changes that are refused during a partition."""
    return fleet.changes_s * PARTITION_S


def heal_s(fleet, lines):
    """Return the seconds until both sides see all members again."""
    return _spread_s(fleet.daemons / fleet.regions, lines)


def outage_starts(fleet, lines):
    """Return the daemons that start during a store outage."""
    return OUTAGE_S * fleet.replaced_day / target.DAY_S


def recovery_writes(fleet, lines):
    """Return the writes that are pending when the store recovers."""
    leaders = fleet.trainers + fleet.services
    return (
        outage_starts(fleet, lines)
        + 2 * leaders
        + fleet.trainers * OUTAGE_S / 60.0
    )


def recovery_s(fleet, lines):
    """Return the seconds until the pending writes are done."""
    rate_s = assumptions.KEYVALUE_WRITES_S - keyvalue.writes_s(
        assumptions.CLAIM_SHARE
    )(fleet, lines)
    if rate_s <= 0:
        return float("inf")
    return LEASE_WAIT_S + recovery_writes(fleet, lines) / rate_s


def domain_restart_s(fleet, lines):
    """Return the seconds until all daemons of a starting domain are listed."""
    daemons = domain_vms(fleet, lines)
    lists = min(fleet.services, daemons)
    # Writes of the same list succeed only one after another.
    one_list_s = daemons * assumptions.LARGEST_SERVICE * 2 * KEYVALUE_CALL_S
    others_s = daemons / lists * 2 * KEYVALUE_CALL_S
    return one_list_s + others_s + JOIN_LONGEST_DELAY_S


def replaced_s(fleet, lines):
    """Return the member updates a second that replaced VMs cause."""
    return assumptions.CHANGES_REPLACED * fleet.replaced_day / target.DAY_S


def push_domain_loads_s(fleet, lines):
    """Return the seconds to load the replicas of a domain again."""
    return fleet.replicas / fleet.failure_domains / grants.LOADS_PER_S


def push_cut_s(fleet, lines):
    """Return the seconds until a region that was cut off has new weights."""
    region = fleet.replicas / fleet.regions
    load_s = region / grants.LOADS_PER_S
    return heal_s(fleet, lines) + load_s + rollout.swap_s(fleet, lines)


_RATE_LIMIT = "token bucket of 64 records/s, burst 128; leaving VMs go first"
_FASTER_SPREAD = (
    "the data path detects a dead link by itself within 4 s; records of a"
    " whole domain in one message would spread faster"
)

FIGURES = (
    rows.Figure(
        ROLE,
        "a rack lost: known at every daemon",
        "s",
        rack_s,
        "loss(40 VMs)",
        ("membership.loss.time",),
        _RATE_LIMIT,
        3.0,
        next_step=_FASTER_SPREAD,
    ),
    rows.Figure(
        ROLE,
        "a failure domain lost: daemons gone",
        "daemons",
        domain_vms,
        "daemons / failure domains",
        (),
        "subsets and rings span domains",
        reading=rows.Reading.APART,
    ),
    rows.Figure(
        ROLE,
        "a failure domain lost: known at every daemon",
        "s",
        domain_s,
        "loss(daemons / domains)",
        ("membership.loss.time",),
        _RATE_LIMIT,
        3.0,
        rows.Reading.APART,
        _FASTER_SPREAD,
    ),
    rows.Figure(
        ROLE,
        "an entry's control bytes while news is at its bound",
        "bytes/s",
        storm_bytes_s,
        "entry's control + 2 x 64/s x record",
        ("membership.news.bytes", "entry.reports.bytes"),
        _RATE_LIMIT,
        target.BUDGET.bytes_s,
        rows.Reading.APART,
        "fewer load reports, as above; then a lower rate limit",
    ),
    rows.Figure(
        ROLE,
        "an entry's control CPU while news is at its bound",
        "cores",
        storm_cpu_share,
        "entry's control + 2 x 64/s x change",
        ("membership.change.cpu", "control.messages.cpu"),
        _RATE_LIMIT,
        target.BUDGET.cpu_share,
        rows.Reading.APART,
        entry.FEWER_REPORTS,
    ),
    rows.Figure(
        ROLE,
        "an ordinary day's failures: changes that meet a failed entry",
        "changes/day",
        delayed_changes,
        "failures a day x entries / daemons x loss(1) x changes/s",
        ("membership.loss.time",),
        "refused with the VM's name, unless known in time to be gone",
        reading=rows.Reading.APART,
    ),
    rows.Figure(
        ROLE,
        "a region cut off: load on the others' replicas",
        "times",
        cut_load,
        "regions / (regions - 1)",
        (),
        "both sides keep serving; live callers go before training",
    ),
    rows.Figure(
        ROLE,
        "a region cut off for 5 minutes: changes refused",
        "changes",
        refused_changes,
        "changes/s x 300 s",
        (),
        "refused with the missing members; not in force anywhere",
    ),
    rows.Figure(
        ROLE,
        "a region heals: both sides know each other",
        "s",
        heal_s,
        "loss(daemons / regions), as each side has declared the other dead",
        ("membership.loss.time",),
        "table exchanges; a reported death is checked before it counts",
        60.0,
        rows.Reading.APART,
        "exchange whole buckets between the sides on contact",
    ),
    rows.Figure(
        ROLE,
        "key-value service down for an hour: daemons that start",
        "daemons",
        outage_starts,
        "3,600 s x replaced a day / 86,400 s",
        (),
        "a sponsor confirms the configuration meanwhile",
    ),
    rows.Figure(
        ROLE,
        "the service is back: waiting writes",
        "writes",
        recovery_writes,
        "starts + 2 x leaderships + 60 chunks a run",
        (),
        "idle daemons write nothing; claims were refused as not run",
    ),
    rows.Figure(
        ROLE,
        "the service is back: leaders lead and writes are through",
        "s",
        recovery_s,
        "15 s of lease and polling + waiting writes / (300/s - usual)",
        ("keyvalue.lease.writes", "claims.apart.writes"),
        "exponential backoff with jitter; group commit",
        60.0,
    ),
    rows.Figure(
        ROLE,
        "a whole domain starts at once: all are listed",
        "s",
        domain_restart_s,
        "daemons of the largest list x 2 calls x 10 ms + 4 s",
        ("keyvalue.join.calls",),
        "compare-and-swap on one list, pauses up to 4 s",
        60.0,
        rows.Reading.APART,
        "shard the lists, so that starts write different keys",
    ),
    rows.Figure(
        ROLE,
        "replacements: records",
        "records/s",
        replaced_s,
        "3 x replaced a day / 86,400 s",
        (),
        "each is sent once over each edge",
        news.RATE_PER_S / _EDGES,
    ),
    rows.Figure(
        ROLE,
        "a weight push while a domain is replaced: loads once more",
        "s",
        push_domain_loads_s,
        "replicas / domains / 20 loads/s",
        (),
        "the floor counts the domain as out of service; the rest swap",
        28 * 60.0,
    ),
    rows.Figure(
        ROLE,
        "a weight push while a region is cut off: its replicas at last",
        "s",
        push_cut_s,
        "heal + replicas / regions / 20 loads/s + swap",
        ("control.messages.cpu",),
        "samples state their older version; the staleness limit decides",
        28 * 60.0,
        rows.Reading.APART,
    ),
    rows.Figure(
        ROLE,
        "a weight push while the key-value service is down: delay",
        "s",
        lambda fleet, lines: OUTAGE_S + recovery_s(fleet, lines),
        "outage + the row for its recovery",
        ("keyvalue.lease.writes",),
        "orders need a lease, so no version changes in the outage",
    ),
)
