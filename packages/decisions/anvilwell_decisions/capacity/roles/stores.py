"""Capacity figures of the weight store and of links between regions."""

from anvilwell_decisions.capacity import assumptions
from anvilwell_decisions.capacity.roles import control
from anvilwell_decisions.capacity.roles import entry
from anvilwell_decisions.capacity import rows
from anvilwell_decisions.rollout import grants

WEIGHTS = "weight store"
REGIONS = "links between regions"
# Time between reads of the list of versions by a leader.
_LIST_POLL_INTERVAL_S = 10.0


def loads_s(fleet, lines):
    """Return the loads started a second while a version is loaded."""
    return 1 / lines["rollout.load.time"].slope


def mean_loads_s(fleet, lines):
    """Return the loads a second, averaged over the time between versions."""
    return fleet.replicas / fleet.weights_s


def bytes_s(fleet, lines):
    """Return the mean rate at which weights are read, in GiB a second."""
    return mean_loads_s(fleet, lines) * assumptions.REPLICA_WEIGHT_GIB


def list_reads_s(fleet, lines):
    """Return the reads a second of the list of versions."""
    return fleet.services / _LIST_POLL_INTERVAL_S


def membership_bytes_s(fleet, lines):
    """Return the control bytes a second that leave one region."""
    daemons = fleet.daemons / fleet.regions
    remote_share = 1 - 1 / fleet.regions
    return daemons * remote_share * control.bytes_s(fleet, lines) / 2


def report_bytes_s(fleet, lines):
    """Return the bytes a second of load reports that leave one region."""
    links = fleet.entries * entry.subset_links(fleet) / fleet.regions
    remote_share = 1 - 1 / fleet.regions
    return remote_share * entry.link_bytes_s(links, lines) / 2


def token_bytes_s(fleet, lines):
    """Return the largest token bytes a second that leave one region."""
    remote_share = 1 - 1 / fleet.regions
    tokens_s = fleet.tokens_s / fleet.regions * remote_share
    return tokens_s / 25 * lines["link.tokens.bytes"].at(25)


FIGURES = (
    rows.Figure(
        WEIGHTS,
        "loads while a version is loaded ahead, one service",
        "loads/s",
        loads_s,
        "1 / load time of a replica",
        ("rollout.load.time",),
        "grants; halved at each failure, recovering 5% a second",
    ),
    rows.Figure(
        WEIGHTS,
        "loads that a version each 28 minutes needs",
        "loads/s",
        mean_loads_s,
        "replicas / time between versions",
        (),
        "ahead of the document, as soon as the store lists a version",
        grants.LOADS_PER_S,
        next_step="a higher rate, if the store's limit allows it",
    ),
    rows.Figure(
        WEIGHTS,
        "weights read, averaged",
        "GiB/s",
        bytes_s,
        "the row above x weights of a replica",
        (),
        "engines read the weights directly",
    ),
    rows.Figure(
        WEIGHTS,
        "reads of the list of versions",
        "reads/s",
        list_reads_s,
        "services / 10 s",
        (),
        "only leaders check for new versions",
    ),
    rows.Figure(
        REGIONS,
        "control that leaves one region, without reports",
        "bytes/s",
        membership_bytes_s,
        "daemons / regions x (1 - 1 / regions) x control bytes / 2",
        ("membership.quiet.bytes",),
        "neighbours from the whole fleet keep news at O(log n) hops",
        reading=rows.Reading.APART,
    ),
    rows.Figure(
        REGIONS,
        "load reports that leave one region, at worst",
        "bytes/s",
        report_bytes_s,
        "entries x subset / regions x (1 - 1 / regions) x link bytes / 2",
        ("entry.reports.bytes",),
        "up to half of a subset is in the entry's own domain",
        reading=rows.Reading.APART,
    ),
    rows.Figure(
        REGIONS,
        "tokens that leave one region, at worst (data path)",
        "bytes/s",
        token_bytes_s,
        "tokens/s / regions x (1 - 1 / regions) / 25 x frame(25)",
        ("link.tokens.bytes",),
        "assumes no preference for near replicas; routing has one",
    ),
)
