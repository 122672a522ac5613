"""Capacity figures of an agent."""

import math

from anvilwell_decisions.capacity import assumptions
from anvilwell_decisions.capacity.roles import control
from anvilwell_decisions.capacity.roles import entry
from anvilwell_decisions.capacity import rows
from anvilwell_decisions.capacity import target

ROLE = "agent"
# Requests that wait at an agent, on which the cost of admission depends.
QUEUED = 64
_US = 1e6


def replicas_a_daemon(fleet):
    """Return the replicas of one daemon if daemons have both roles."""
    return math.ceil(fleet.replicas / fleet.entries)


def tokens_s(fleet, lines):
    """Return the tokens a second of one replica."""
    return fleet.tokens_s / fleet.replicas


def accelerators(fleet, lines):
    """Return the tokens a second of one accelerator."""
    return fleet.tokens_s / fleet.accelerators


def links(fleet):
    """Return the mean number of entries connected to one agent."""
    return fleet.entries * entry.subset_links(fleet) / fleet.replicas


def data_path_cores(fleet, lines):
    """Return the cores that one agent needs for its data path."""
    message_us = lines["agent.tokens.cpu"].at(25)
    requests_us = (fleet.requests_s / fleet.replicas) * (
        lines["link.request.cpu"].at(fleet.body_bytes)
        + lines["agent.admission.cpu"].at(QUEUED)
    )
    return (tokens_s(fleet, lines) / 25 * message_us + requests_us) / _US


def shared_cores(fleet, lines):
    """Return the cores for the data path of a daemon with both roles."""
    agents = replicas_a_daemon(fleet) * data_path_cores(fleet, lines)
    return entry.data_path_cores(fleet, lines) + agents


def control_bytes_s(fleet, lines):
    """Return the control bytes a second of one agent."""
    return control.bytes_s(fleet, lines) + entry.link_bytes_s(
        links(fleet), lines
    )


def control_cpu_share(fleet, lines):
    """Return the cores that one agent needs for control."""
    return control.cpu_share(fleet, lines) + entry.link_cpu_share(
        links(fleet), lines
    )


def memory_bytes(fleet, lines):
    """Return the memory of an agent, open streams included."""
    streams = tokens_s(fleet, lines) / assumptions.STREAM_TOKENS_S
    streams_bytes = streams * lines["link.streams.bytes"].slope
    return control.memory_bytes(fleet, lines) + streams_bytes


FIGURES = (
    rows.Figure(
        ROLE,
        "tokens of one accelerator",
        "tokens/s",
        accelerators,
        "tokens/s / accelerators",
        (),
        "engines manage accelerators; agents handle replicas only",
    ),
    rows.Figure(
        ROLE,
        "data path of one replica (no sockets or threads)",
        "cores",
        data_path_cores,
        "tokens/s / 25 x message(25) + requests/s x (frame + admission)",
        ("agent.tokens.cpu", "link.request.cpu", "agent.admission.cpu"),
        "consecutive tokens are sent as one message",
        assumptions.DATA_PATH_CORES,
        rows.Reading.APART,
    ),
    rows.Figure(
        ROLE,
        "data path of a daemon with both roles (no sockets or threads)",
        "cores",
        shared_cores,
        "entry's data path + replicas of a daemon x agent's",
        ("entry.messages.cpu", "agent.tokens.cpu", "link.request.cpu"),
        "the roles' work adds up in one process",
        assumptions.DATA_PATH_CORES,
        rows.Reading.SHARED,
        "run agents in processes of their own, reading B",
    ),
    rows.Figure(
        ROLE,
        "all control bytes",
        "bytes/s",
        control_bytes_s,
        "control of every daemon + entries x subset / replicas links",
        ("entry.reports.bytes", "membership.quiet.bytes"),
        "an agent has a link for each subset that contains it",
        target.BUDGET.bytes_s,
        rows.Reading.APART,
        entry.FEWER_REPORTS,
    ),
    rows.Figure(
        ROLE,
        "all control CPU",
        "cores",
        control_cpu_share,
        "control of every daemon + links x (reports + pings)",
        ("control.messages.cpu", "membership.quiet.cpu"),
        "an agent has a link for each subset that contains it",
        target.BUDGET.cpu_share,
        rows.Reading.APART,
        entry.FEWER_REPORTS,
    ),
    rows.Figure(
        ROLE,
        "memory with its streams",
        "bytes",
        memory_bytes,
        "every daemon's + streams x stream",
        ("link.streams.bytes", "daemon.base.bytes"),
        "at most 64 KiB of a response; then the engine's socket fills",
        target.BUDGET.memory_bytes,
        rows.Reading.APART,
    ),
)
