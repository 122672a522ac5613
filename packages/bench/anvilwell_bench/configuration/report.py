"""Tables of the measured runs and their slopes to the target."""

import numpy

from anvilwell_daemon.configuration import watching

TARGET_DAEMONS = 850
TARGET_DOMAINS = 13
CHANGES_PER_S = 16_000 / 86_400
STARTS_PER_S = 1_300 / 86_400
WATCHERS_PER_DOMAIN = 2
READS_PER_START = 2
_HEAD = (
    "| way | daemons | p50 ms | p99 ms | max ms | calls a change | "
    "idle calls/s | watches | idle B/s a daemon | B a change a daemon | "
    "idle CPU a daemon, % | CPU ms a change a daemon | "
    "memory a daemon, KiB |"
)


def head():
    """Return the head of the Markdown table of results."""
    return _HEAD + "\n|" + "---|" * (_HEAD.count("|") - 1)


def row(result):
    """Return the table's row of a `measure.Result`."""
    calls = ", ".join(
        f"{count:.1f} {kind}"
        for kind, count in result.calls_per_change.items()
        if count >= 0.05
    )
    values = (
        result.kind,
        result.daemons,
        f"{result.p50_ms:.0f}",
        f"{result.p99_ms:.0f}",
        f"{result.max_ms:.0f}",
        calls,
        f"{_idle_calls(result):.1f}",
        result.waiting_watches,
        f"{result.idle_bytes_per_daemon_s:.0f}",
        f"{result.change_bytes_per_daemon:.0f}",
        f"{100 * result.idle_cpu_per_daemon:.2f}",
        f"{1000 * result.change_cpu_per_daemon_s:.2f}",
        f"{result.memory_per_daemon_bytes / 1024:.0f}",
    )
    return "| " + " | ".join(map(str, values)) + " |"


def slope(results, value):
    """Return the line of `value` in the number of daemons.

    Returns
    -------
    tuple of float
        Increase a daemon, and the value at no daemon.
    """
    sizes = [one.daemons for one in results]
    increase, start = numpy.polyfit(sizes, [value(r) for r in results], 1)
    return float(increase), float(start)


def target(ours, naive):
    """Return lines on the key-value calls at the target's size."""
    calls = ours[-1].calls_per_change
    reads = _sum(calls, "read") * CHANGES_PER_S
    reads += READS_PER_START * STARTS_PER_S
    writes = _sum(calls, "write") * CHANGES_PER_S + STARTS_PER_S
    watches = WATCHERS_PER_DOMAIN * TARGET_DOMAINS
    increase, start = slope(naive, _idle_calls)
    naive_calls = increase * TARGET_DAEMONS + start
    return (
        f"At {TARGET_DAEMONS} daemons, {TARGET_DOMAINS} failure domains, "
        f"{CHANGES_PER_S:.2f} changes/s, {STARTS_PER_S:.3f} starts/s:\n"
        f"  ours:  {reads:.2f} reads/s, {writes:.2f} writes/s, "
        f"{watches} waiting watches, begun anew "
        f"{watches / watching.IDLE_S:.1f} times/s\n"
        f"  naive: {naive_calls:.0f} calls/s while nothing changes, "
        f"{TARGET_DAEMONS} waiting watches"
    )


def _idle_calls(result):
    return sum(result.idle_calls_per_s.values())


def _sum(calls, kind):
    return sum(count for name, count in calls.items() if name.endswith(kind))
