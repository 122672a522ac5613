"""Measures routing, admission and retries in virtual time."""

import statistics

from absl import flags

from anvilwell_bench.virtual import request_tables as tables
from anvilwell_bench.virtual import scenario

_FLAGS = flags.FLAGS
_SEEDS = 3
_GOAL_GOODPUT = 0.95
_GOAL_SLOWER = 1.2
_GOAL_AMPLIFICATION = 1.1
_HEAD = (
    "| case | variant | live on time | p50 s | p99 s | answers/s on time"
    " | training tokens/s | cache hits | attempts each |"
)
_RULE = "|---|---|---|---|---|---|---|---|---|"


def requests(args):
    """Print the tables; return 1 if a goal is missed."""
    duration_s = 20.0 if _FLAGS.quick else 60.0
    base = scenario.Conditions(seed=_FLAGS.seed, duration_s=duration_s)
    capacity = scenario.capacity_s(base.replicas)
    print(f"{base.replicas} replicas, capacity {capacity:.0f} live/s")
    loads = _table("Load", tables.load_cases(base))
    _table("Lag of load reports, load 0.9", tables.lag_cases(base))
    training = _table("Live beside training", tables.training_cases(base))
    faults = _table("Faults, load 0.7", tables.fault_cases(base))
    _table("Without each mechanism", tables.ablation_cases(base))
    return _check_goals(loads, training, faults)


def _table(title, cases):
    """Print one table and return its rows by label and variant."""
    print(f"\n{title}\n\n{_HEAD}\n{_RULE}")
    rows_by_case = {}
    for case in cases:
        figures = _mean(case)
        rows_by_case[case.label, case.variant.name] = figures
        print(_row(case, figures), flush=True)
    return rows_by_case


def _mean(case):
    """Return the mean figures over some seeds."""
    conditions = case.conditions
    runs = [
        scenario.run(case.variant, conditions._replace(seed=seed))
        for seed in range(conditions.seed, conditions.seed + _SEEDS)
    ]
    numbers = {
        field: statistics.mean(getattr(run, field) for run in runs)
        for field in scenario.Figures._fields
        if field != "refusals_by_reason"
    }
    return scenario.Figures(**numbers, refusals_by_reason={})


def _row(case, f):
    cells = (
        case.label,
        case.variant.name,
        f"{f.on_time_share:.3f}",
        f"{f.live_p50_s:.2f}",
        f"{f.live_p99_s:.2f}",
        f"{f.goodput_s:.1f}",
        f"{f.training_tokens_s:.0f}",
        f"{f.cache_share:.2f}",
        f"{f.amplification:.3f}",
    )
    return f"| {' | '.join(cells)} |"


def _check_goals(loads, training, faults):
    name = tables.OURS.name
    goodput = loads["3", name].goodput_s / loads["1", name].goodput_s
    slower = max(
        training[f"{load}, training on", name].live_p99_s
        / training[f"{load}, training off", name].live_p99_s
        for load in ("0.3", "0.5", "0.7")
    )
    amplification = faults["half a domain down", name].amplification
    goals = (
        ("goodput at 3 to that at 1", goodput, goodput >= _GOAL_GOODPUT),
        ("live p99 beside training", slower, slower <= _GOAL_SLOWER),
        (
            "attempts a request, half a domain down",
            amplification,
            amplification <= _GOAL_AMPLIFICATION,
        ),
    )
    print()
    for what, value, is_met in goals:
        print(f"{what}: {value:.3f} {'met' if is_met else 'MISSED'}")
    return 0 if all(is_met for _, _, is_met in goals) else 1
