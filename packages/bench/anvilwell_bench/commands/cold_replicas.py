"""Compares ways to limit the requests to a cold replica in virtual time."""

from absl import flags

from anvilwell_bench.virtual import cold_replicas as simulation

_FLAGS = flags.FLAGS
_SEEDS = 5
_ENTRIES = (3, 26, 850)
_QUICK_ENTRIES = (3, 26)


def cold_replicas(args):
    """Print the table; return 1 if the kept approach exceeds the limit."""
    counts = _QUICK_ENTRIES if _FLAGS.quick else _ENTRIES
    print("| approach | entries | worst second:", end=" ")
    print(*simulation.SCENARIOS, sep=" | ", end=" ")
    print("| items admitted in 3 s | filled s | calls admitted in 3 s |")
    print("| --- " * (len(simulation.SCENARIOS) + 5) + "|")
    rows = [
        (approach, _row(approach, count))
        for approach in simulation.APPROACHES
        for count in counts
    ]
    kept = simulation.APPROACHES[0]
    return int(
        any(
            worst > simulation.LIMIT
            for approach, worst in rows
            if approach is kept
        )
    )


def _row(approach, count):
    """Print one row and return the requests in its worst second."""
    seeds = range(_FLAGS.seed, _FLAGS.seed + _SEEDS)
    worsts = [
        max(
            simulation.run(approach, scenario, count, seed).worst
            for seed in seeds
        )
        for scenario in simulation.SCENARIOS
    ]
    items = simulation.run(approach, "no fault", count, only_home=True)
    calls = simulation.run(approach, "no fault", count)
    filled = "never" if items.filled_s is None else f"{items.filled_s:.1f}"
    cells = [approach.name, count, *worsts, items.admitted, filled]
    row = " | ".join(map(str, [*cells, calls.admitted]))
    print(f"| {row} |", flush=True)
    return max(worsts)
