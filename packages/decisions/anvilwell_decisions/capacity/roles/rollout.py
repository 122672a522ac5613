"""Capacity figures of a weight rollout and of its leader."""

import math

from anvilwell_decisions.capacity import assumptions
from anvilwell_decisions.capacity import rows
from anvilwell_decisions.capacity import target
from anvilwell_decisions.rollout import grants

ROLE = "rollout"
# Time between ticks of a leader during a rollout, and once it is settled.
POLL_INTERVAL_S = 0.25
SETTLED_POLL_INTERVAL_S = 2.0
# Time until the leader has the status of a replica that has swapped.
STATUS_DELAY_S = 0.5
_US = 1e6


def orders_version(fleet, lines):
    """Return the orders needed for one version on all replicas."""
    return lines["rollout.orders"].slope * fleet.replicas


def leader_cpu_share(fleet, lines):
    """Return the cores of the largest service's leader in a rollout."""
    replicas = fleet.replicas * assumptions.LARGEST_SERVICE
    return lines["rollout.tick.cpu"].at(replicas) / _US / POLL_INTERVAL_S


def settled_cpu_share(fleet, lines):
    """Return the leader's cores, averaged over the time between versions."""
    replicas = fleet.replicas * assumptions.LARGEST_SERVICE
    rolling = min(1.0, (fleet.swap_s + _load_s(fleet)) / fleet.weights_s)
    settled_us = lines["rollout.settled.cpu"].at(replicas)
    settled = settled_us / _US / SETTLED_POLL_INTERVAL_S
    share = leader_cpu_share(fleet, lines)
    return share * rolling + settled * (1 - rolling)


def leader_bytes_s(fleet, lines):
    """Return the leader's bytes a second over the time between versions."""
    replicas = fleet.replicas * assumptions.LARGEST_SERVICE
    orders = lines["rollout.orders"].slope * replicas
    # Each order is answered by a report of about the same size.
    order = 2 * lines["rollout.batch.bytes"].slope
    return orders * order / fleet.weights_s


def load_s(fleet, lines):
    """Return the seconds to load a version if one service has all replicas."""
    return lines["rollout.load.time"].slope * fleet.replicas


def swap_s(fleet, lines):
    """Return the seconds from a new document until all replicas swapped."""
    waves = math.ceil(1 / (1 - assumptions.LIVE_FLOOR))
    wave_replicas = fleet.replicas / fleet.failure_domains / waves
    message_s = lines["control.messages.cpu"].slope / _US
    relay_s = 2 * wave_replicas * message_s
    wave_s = (
        POLL_INTERVAL_S
        + relay_s
        + assumptions.ENGINE_SWAP_S
        + STATUS_DELAY_S
        + relay_s
    )
    return fleet.spread_s + waves * wave_s


def _load_s(fleet):
    return fleet.replicas / grants.LOADS_PER_S


FIGURES = (
    rows.Figure(
        ROLE,
        "orders for one version",
        "orders",
        orders_version,
        "orders x replicas",
        ("rollout.orders",),
        "level-triggered: status, load, activate",
    ),
    rows.Figure(
        ROLE,
        "leader's CPU while it rolls out, half of all replicas",
        "cores",
        leader_cpu_share,
        "tick(replicas / 2) / 0.25 s",
        ("rollout.tick.cpu",),
        "one leader a service, under a lease",
        target.BUDGET.cpu_share,
        rows.Reading.EITHER,
        "process only replicas with new reports, not all each 0.25 s",
    ),
    rows.Figure(
        ROLE,
        "leader's CPU, averaged over 28 minutes",
        "cores",
        settled_cpu_share,
        "the row above x (25 s + loading) / 28 min"
        " + settled(replicas / 2) / 2 s for the rest",
        ("rollout.tick.cpu", "rollout.settled.cpu"),
        "a settled leader ticks every 2 s",
        target.BUDGET.cpu_share,
        rows.Reading.EITHER,
        "process only replicas with new reports, not all each 0.25 s",
    ),
    rows.Figure(
        ROLE,
        "leader's bytes, averaged over 28 minutes",
        "bytes/s",
        leader_bytes_s,
        "orders x replicas / 2 x 2 x order / 28 min",
        ("rollout.orders", "rollout.batch.bytes"),
        "one batch for each failure domain, forwarded there",
        target.BUDGET.bytes_s,
    ),
    rows.Figure(
        ROLE,
        "a version loaded ahead on all replicas",
        "s",
        load_s,
        "load(replicas), one service",
        ("rollout.load.time",),
        "token buckets for each domain, 20 loads/s",
        28 * 60.0,
    ),
    rows.Figure(
        ROLE,
        "new weights on all replicas, loaded ahead",
        "s",
        swap_s,
        "spread + waves x (tick + swap + status"
        " + 4 x replicas / domains / waves x message)",
        ("control.messages.cpu",),
        "floor of live replicas; relays in each domain",
        25.0,
        rows.Reading.APART,
        "not reached if a version is required before it is loaded",
    ),
)
