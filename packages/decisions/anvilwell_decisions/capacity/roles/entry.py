"""Capacity figures of an entry."""

from anvilwell_decisions.capacity import assumptions
from anvilwell_decisions.capacity.roles import control
from anvilwell_decisions.capacity import rows
from anvilwell_decisions.capacity import target
from anvilwell_decisions.requests import subsets

ROLE = "entry"
# Load reports a second on each link.
REPORTS_S = 2.0
# Time between two pings of one side of a link.
PING_INTERVAL_S = 2.0
# Messages in each ping interval: a ping and its answer, from both sides.
_PINGS = 4
_PING_BYTES = 4
_US = 1e6
# Agents in the subset of a service to which an entry is connected.
SUBSET = float(subsets.SubsetSettings().size)


def requests_s(fleet, lines):
    """Return the requests a second of one entry."""
    return fleet.requests_s / fleet.entries


def tokens_s(fleet, lines):
    """Return the tokens a second that one entry relays."""
    return fleet.tokens_s / fleet.entries


def open_streams(fleet, lines):
    """Return the mean number of open streams of one entry."""
    return tokens_s(fleet, lines) / assumptions.STREAM_TOKENS_S


def link_bytes_s(links, lines):
    """Return the bytes a second of reports and pings on `links` links."""
    report = lines["entry.reports.bytes"].slope + assumptions.HEADER_BYTES
    ping = _PING_BYTES + assumptions.HEADER_BYTES
    return links * (REPORTS_S * report + _PINGS * ping / PING_INTERVAL_S)


def link_cpu_share(links, lines):
    """Return the cores for reports and pings on `links` links."""
    message_us = lines["control.messages.cpu"].slope / 2
    report_us = lines["entry.reports.cpu"].slope + message_us
    pings_s = _PINGS / PING_INTERVAL_S
    # A ping costs at most as much as a message.
    return links * (REPORTS_S * report_us + pings_s * message_us) / _US


def service_links(fleet):
    """Return the links of one entry with a full subset of each service."""
    service = fleet.replicas / fleet.services
    return fleet.services * min(SUBSET, service)


def subset_links(fleet):
    """Return the links of one entry if their total is limited.

    The limit is the size of one subset, but at least some agents of each
    service.
    """
    wanted = max(SUBSET, assumptions.LINKS_A_SERVICE * fleet.services)
    return min(wanted, fleet.replicas)


def control_bytes_s(fleet, lines):
    """Return the control bytes a second of an entry."""
    links = link_bytes_s(subset_links(fleet), lines)
    return control.bytes_s(fleet, lines) + links


def control_cpu_share(fleet, lines):
    """Return the cores that an entry needs for control."""
    links = link_cpu_share(subset_links(fleet), lines)
    return control.cpu_share(fleet, lines) + links


def memory_bytes(fleet, lines):
    """Return the memory of an entry, open streams included."""
    return (
        control.memory_bytes(fleet, lines)
        + lines["entry.replica.bytes"].at(subset_links(fleet))
        + open_streams(fleet, lines) * lines["link.streams.bytes"].slope
    )


def data_path_cores(fleet, lines):
    """Return the cores that an entry needs for its data path."""
    messages_s = tokens_s(fleet, lines) / 25
    answers_us = messages_s * lines["entry.messages.cpu"].slope
    requests_us = requests_s(fleet, lines) * (
        lines["link.request.cpu"].at(fleet.body_bytes)
        + lines["entry.route.cpu"].at(subset_links(fleet))
    )
    return (answers_us + requests_us) / _US


def service_links_bytes_s(fleet, lines):
    """Return the link bytes a second with a full subset of each service."""
    return link_bytes_s(service_links(fleet), lines)


def service_links_cpu_share(fleet, lines):
    """Return the cores for links with a full subset of each service."""
    return link_cpu_share(service_links(fleet), lines)


_REPORT_SLOPES = (
    "entry.reports.bytes",
    "entry.reports.cpu",
    "control.messages.cpu",
)
_SUBSET = (
    "subsets by rendezvous hashing: 48 agents, or 3 of each service if"
    " that is more"
)
_BOUND_IN_ALL = (
    "limit the links over all services, as in the rows below; a holder of"
    " runs also links to all replicas of its own service"
)
FEWER_REPORTS = (
    "report and ping only every 10 s on links without a request of the entry"
)

FIGURES = (
    rows.Figure(
        ROLE,
        "requests",
        "requests/s",
        requests_s,
        "requests/s / entries",
        (),
        "the platform's balancer distributes callers",
    ),
    rows.Figure(
        ROLE,
        "tokens relayed",
        "tokens/s",
        tokens_s,
        "tokens/s / entries",
        (),
        "one multiplexed link for each agent",
    ),
    rows.Figure(
        ROLE,
        "open streams",
        "streams",
        open_streams,
        "tokens/s of an entry / tokens/s of a stream",
        (),
        "credits limit each stream's buffer",
    ),
    rows.Figure(
        ROLE,
        "data path: frames, checks and events (no sockets or threads)",
        "cores",
        data_path_cores,
        "tokens/s / 25 x message + requests/s x (frame + route)",
        ("entry.messages.cpu", "link.request.cpu", "entry.route.cpu"),
        "agents merge tokens; the entry's cost is per message",
        assumptions.DATA_PATH_CORES,
        rows.Reading.SHARED,
    ),
    rows.Figure(
        ROLE,
        "load reports and pings, links to 48 agents a service",
        "bytes/s",
        service_links_bytes_s,
        "services x min(48, replicas / services) x (2 reports/s + 2 pings/s)",
        _REPORT_SLOPES[:1],
        "subsets by rendezvous hashing; the current behaviour",
        target.BUDGET.bytes_s,
        rows.Reading.APART,
        _BOUND_IN_ALL,
    ),
    rows.Figure(
        ROLE,
        "load reports and pings, links to 48 agents a service",
        "cores",
        service_links_cpu_share,
        "those links x (2 reports/s x report + 2 pings/s x message / 2)",
        _REPORT_SLOPES[1:],
        "subsets by rendezvous hashing; the current behaviour",
        target.BUDGET.cpu_share,
        rows.Reading.APART,
        _BOUND_IN_ALL,
    ),
    rows.Figure(
        ROLE,
        "all control bytes, links bounded over all services",
        "bytes/s",
        control_bytes_s,
        "control of every daemon + links x (2 reports/s + 2 pings/s)",
        ("entry.reports.bytes", "membership.quiet.bytes"),
        _SUBSET,
        target.BUDGET.bytes_s,
        rows.Reading.APART,
        FEWER_REPORTS,
    ),
    rows.Figure(
        ROLE,
        "all control CPU, links bounded over all services",
        "cores",
        control_cpu_share,
        "control of every daemon + links x (reports + pings)",
        (*_REPORT_SLOPES[1:], "membership.quiet.cpu"),
        _SUBSET,
        target.BUDGET.cpu_share,
        rows.Reading.APART,
        FEWER_REPORTS,
    ),
    rows.Figure(
        ROLE,
        "memory with its streams (no threads or socket buffers)",
        "bytes",
        memory_bytes,
        "every daemon's + replica x links + streams x stream",
        ("entry.replica.bytes", "link.streams.bytes", "daemon.base.bytes"),
        "credits of 16 messages a stream; limited response size",
        target.BUDGET.memory_bytes,
        rows.Reading.APART,
        "split the streams of an entry over two processes",
    ),
)
