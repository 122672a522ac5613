"""Capacity figures of the key-value service, by purpose of its calls."""

from anvilwell_decisions.capacity import assumptions
from anvilwell_decisions.capacity import rows
from anvilwell_decisions.capacity import target
from anvilwell_decisions.configuration import limits
from anvilwell_decisions.samples import chunks

ROLE = "key-value service"
# Time between the reads of a lease by a candidate.
POLL_INTERVAL_S = 5.0
# Daemons that are candidates for each leadership.
CANDIDATES = 2
_MINUTE_S = 60.0
_READS_PER_CHANGE = 3
_READS_PER_START = 2


def lease_writes_s(fleet, lines):
    """Return the lease renewals a second; runs and services have leaders."""
    leaders = fleet.trainers + fleet.services
    return leaders * lines["keyvalue.lease.writes"].slope / _MINUTE_S


def chunk_writes_s(fleet, lines):
    """Return the chunks a second that all runs write."""
    entries = assumptions.LOG_ENTRIES_SAMPLE * fleet.samples_step
    entries_s = entries / fleet.step_s
    return fleet.trainers * min(entries_s, 1 / chunks.COMMIT_INTERVAL_S)


def configuration_writes_s(fleet, lines):
    """Return the writes a second for changes and starts of daemons."""
    return fleet.changes_s + _starts_s(fleet)


def claim_writes_s(share):
    """Return a function for the writes a second of claims.

    `share` is the share of requests that need a claim.
    """

    def value(fleet, lines):
        keys_s = share * fleet.requests_s
        return keys_s * lines["claims.apart.writes"].slope

    return value


def writes_s(share):
    """Return a function for all writes a second, given the share of claims."""
    claims = claim_writes_s(share)

    def value(fleet, lines):
        return (
            lease_writes_s(fleet, lines)
            + chunk_writes_s(fleet, lines)
            + configuration_writes_s(fleet, lines)
            + claims(fleet, lines)
        )

    return value


def reads_s(fleet, lines):
    """Return all reads a second."""
    lease_polls_s = (
        CANDIDATES * (fleet.services + fleet.trainers) / POLL_INTERVAL_S
    )
    configuration = _READS_PER_CHANGE * fleet.changes_s
    return lease_polls_s + configuration + _READS_PER_START * _starts_s(fleet)


def watches(fleet, lines):
    """Return the number of open watches."""
    return limits.WATCHERS_PER_DOMAIN * fleet.failure_domains


def list_bytes(fleet, lines):
    """Return the bytes of the largest member list."""
    members = max(fleet.entries, assumptions.LARGEST_SERVICE * fleet.replicas)
    return lines["keyvalue.join.bytes"].at(members)


def _starts_s(fleet):
    return (fleet.replaced_day + fleet.failures_day) / target.DAY_S


_CLAIMS = "a claim before the forward and its outcome after"

FIGURES = (
    rows.Figure(
        ROLE,
        "lease renewals",
        "writes/s",
        lease_writes_s,
        "(trainers + services) x renewals of a leader",
        ("keyvalue.lease.writes",),
        "one lease a daemon, only while it leads",
        assumptions.KEYVALUE_WRITES_S,
    ),
    rows.Figure(
        ROLE,
        "chunks of the runs' logs",
        "writes/s",
        chunk_writes_s,
        "trainers x min(entries/s, 2/s)",
        ("keyvalue.chunk.writes",),
        "group commit: at most two writes a second for each run",
        assumptions.KEYVALUE_WRITES_S,
    ),
    rows.Figure(
        ROLE,
        "changes and starts",
        "writes/s",
        configuration_writes_s,
        "changes/s + starts/s",
        ("keyvalue.change.calls", "keyvalue.join.calls"),
        "one write a change, one a start",
        assumptions.KEYVALUE_WRITES_S,
    ),
    rows.Figure(
        ROLE,
        f"claims, {assumptions.CLAIM_SHARE:.1%} of the requests",
        "writes/s",
        claim_writes_s(assumptions.CLAIM_SHARE),
        "share x requests/s x writes of an unbatched claim",
        ("claims.apart.writes", "claims.together.writes"),
        _CLAIMS,
        assumptions.KEYVALUE_WRITES_S,
    ),
    rows.Figure(
        ROLE,
        f"all writes, claims {assumptions.CLAIM_SHARE:.1%}",
        "writes/s",
        writes_s(assumptions.CLAIM_SHARE),
        "the sum of the rows above",
        ("keyvalue.lease.writes", "claims.apart.writes"),
        "each purpose has its own limit",
        assumptions.KEYVALUE_WRITES_S,
        rows.Reading.EITHER,
        "as for the next row",
    ),
    rows.Figure(
        ROLE,
        f"all writes, claims {assumptions.HARD_CLAIM_SHARE:.1%}",
        "writes/s",
        writes_s(assumptions.HARD_CLAIM_SHARE),
        "the same with the larger share",
        ("keyvalue.lease.writes", "claims.apart.writes"),
        _CLAIMS,
        assumptions.KEYVALUE_WRITES_S,
        rows.Reading.EITHER,
        "route keys to a few entries by hash, so that claims are batched"
        " and share writes (claims.together.writes)",
    ),
    rows.Figure(
        ROLE,
        "all reads",
        "reads/s",
        reads_s,
        "2 x leaderships / 5 s + 3 x changes/s + 2 x starts/s",
        ("keyvalue.change.calls", "keyvalue.join.calls"),
        "two daemons are candidates for each leadership",
        assumptions.KEYVALUE_READS_S,
    ),
    rows.Figure(
        ROLE,
        "waiting watches",
        "watches",
        watches,
        "2 x failure domains",
        (),
        "two watchers in each domain; exchanges inform the others",
        assumptions.KEYVALUE_WATCHES,
    ),
    rows.Figure(
        ROLE,
        "the largest member list",
        "bytes",
        list_bytes,
        "list(max(entries, replicas / 2))",
        ("keyvalue.join.bytes",),
        "one list of the entries, one of each service's agents",
        assumptions.KEYVALUE_VALUE_BYTES,
        rows.Reading.APART,
        "shard the lists",
    ),
)
