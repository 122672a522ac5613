"""Variants and conditions of the measurement of requests."""

import typing

from anvilwell_bench.virtual import driver as drivers
from anvilwell_bench.virtual import fleet
from anvilwell_bench.virtual import scenario
from anvilwell_decisions.requests import routing

LOADS = (0.5, 0.9, 1.0, 1.5, 3.0)
LAGS_S = (0.0, 0.5, 2.0)
OURS = scenario.Variant("product")
PLAIN = scenario.Variant(
    "round robin, no admission",
    policy=routing.RoundRobin,
    bounds=scenario.UNLIMITED,
    max_queue=10**6,
    has_priorities=False,
    refuses_early=False,
    has_ejection=False,
    has_engine_reports=False,
)
POLICIES = (
    OURS,
    OURS._replace(name="round robin", policy=routing.RoundRobin),
    OURS._replace(name="least reported load", policy=routing.LeastReported),
    PLAIN,
    PLAIN._replace(
        name="least reported, no admission", policy=routing.LeastReported
    ),
)
ABLATIONS = (
    OURS,
    OURS._replace(name="- prefix affinity", policy=routing.PowerOfTwo),
    OURS._replace(name="- corrected reports", corrects_reports=False),
    OURS._replace(name="- ejection", has_ejection=False),
    OURS._replace(name="- slow start", slow_start_s=0.0),
    OURS._replace(name="- live reserve", live_reserve=0.0),
    OURS._replace(name="- priorities", has_priorities=False),
    OURS._replace(name="- early refusal", refuses_early=False),
    OURS._replace(name="- engine's own waiting", has_engine_reports=False),
    OURS._replace(name="- learned limit", bounds=scenario.UNLIMITED),
    OURS._replace(name="- retries", retry_share=0.0),
    OURS._replace(name="- retry budget", retry_share=1000.0),
)
_HALF_DOWN_FROM_S = 30.0
_HALF_DOWN_TO_S = 60.0


class Case(typing.NamedTuple):
    """One row of a table."""

    label: str
    variant: scenario.Variant
    conditions: scenario.Conditions


def load_cases(base):
    """Return the cases of every policy at every load."""
    return [
        Case(f"{load:g}", variant, base._replace(load=load))
        for load in LOADS
        for variant in POLICIES
    ]


def lag_cases(base):
    """Return the cases of policies at every lag of load reports."""
    return [
        Case(f"{lag:g} s", v, base._replace(report_lag_s=lag, load=0.9))
        for lag in LAGS_S
        for v in POLICIES[:3]
    ]


def training_cases(base):
    """Return the cases with and without training."""
    return [
        Case(
            f"{load:g}, training {'on' if loops else 'off'}",
            OURS,
            base._replace(load=load, training_loops=loops),
        )
        for load in (0.3, 0.5, 0.7)
        for loops in (0, base.training_loops)
    ]


def half_down(base):
    """Return conditions in which half of a failure domain is down.

    Its replicas refuse connections, as crashed processes do.
    """
    faults = (
        drivers.Fault(
            fleet.CONNECT_FAULT,
            "replica-0",
            _HALF_DOWN_FROM_S,
            _HALF_DOWN_TO_S,
        ),
    )
    return base._replace(load=0.7, faults=faults)


def fault_cases(base):
    """Return the cases in a failure domain that is half down."""
    names = ("product", "- ejection", "- retries", "- retry budget")
    chosen = [v for v in ABLATIONS if v.name in names]
    conditions = half_down(base)
    return [
        Case("half a domain down", variant, conditions)
        for variant in (*chosen, POLICIES[1])
    ]


def ablation_cases(base):
    """Return the cases without each mechanism, at two loads."""
    return [
        Case(f"{load:g}", variant, base._replace(load=load))
        for load in (0.5, 1.0)
        for variant in ABLATIONS
    ]
