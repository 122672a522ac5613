"""Tables of the measured runs and their slopes to the target."""

import typing

import numpy

TARGETS = (850, 5950)
FRAME_OVERHEAD_BYTES = 46
# With fewer daemons the neighbour graph is not yet at its full degree.
FULL_DEGREE_DAEMONS = 20
_HEAD = (
    "| way | daemons | B/s a daemon | messages/s a daemon | CPU a daemon, "
    "% | memory a daemon, KiB | memory of its process, MB | "
    "key-value calls/s by purpose | watches | "
    "leaving known, s | dead known, s |"
)


class Limit(typing.NamedTuple):
    """A goal for one daemon, or for the whole fleet."""

    name: str
    most: float
    value: typing.Callable


LIMITS = (
    Limit(
        "control B/s a daemon, with TCP/IP headers", 9000, lambda r: _wire(r)
    ),
    Limit("CPU of a core a daemon", 0.025, lambda r: r.cpu),
    Limit("memory a daemon, MB", 256, lambda r: _memory(r) / 1e6),
    Limit("key-value calls/s of the fleet", 200, lambda r: _calls(r)),
    Limit("key-value writes/s of the fleet", 50, lambda r: _calls(r, "write")),
    Limit("leaving known everywhere, s", 3.0, lambda r: r.leaving_s),
    Limit("dead known everywhere, s", 3.0, lambda r: r.dead_s),
)


def table(results):
    """Return a Markdown table of `measure.Result` rows."""
    rule = "|" + "---|" * (_HEAD.count("|") - 1)
    return "\n".join([_HEAD, rule, *map(_row, results)])


def outlook(kind, results):
    """Return lines on each goal at the target sizes, by slopes.

    Drawn over the logarithm of the size: a daemon's links and messages
    are bounded by the graph's degree and news spreads in O(log n) hops.
    The calls of the naive way grow with the size itself. What does not
    grow is drawn flat at the largest value measured. The table of
    members is in ``make slopes``, ``membership.node.bytes``.
    """
    results = [r for r in results if r.daemons >= FULL_DEGREE_DAEMONS]
    if len(results) < 2:
        return f"{kind}: two sizes from {FULL_DEGREE_DAEMONS} give a slope"
    lines = [f"{kind}: slope drawn to {TARGETS[0]} and {TARGETS[1]} daemons"]
    for limit in LIMITS:
        values = [limit.value(result) for result in results]
        if not numpy.isnan(values).any():
            lines.append(_line(kind, limit, results, values))
    return "\n".join(lines)


def _line(kind, limit, results, values):
    is_linear = kind == "naive"
    scale = numpy.asarray if is_linear else numpy.log2
    sizes = scale([float(result.daemons) for result in results])
    slope, start = numpy.polyfit(sizes, values, 1)
    drawn = [
        max(slope * float(scale(float(t))) + start, *values) for t in TARGETS
    ]
    unit = "a daemon" if is_linear else "a doubling"
    figures = ", ".join(
        f"{value:.4g} at {target} ({_verdict(value, limit)})"
        for value, target in zip(drawn, TARGETS, strict=True)
    )
    return f"  {limit.name}: {slope:+.3g} {unit}; {figures}; {limit.most:g}"


def _verdict(value, limit):
    return "met" if value <= limit.most else "MISSED"


def _wire(result):
    headers = result.messages_per_s * FRAME_OVERHEAD_BYTES
    return result.bytes_per_s + headers


def _memory(result):
    return result.base_bytes + result.memory_bytes


def _calls(result, kind=""):
    return sum(
        rate
        for name, rate in result.calls_per_s_by_kind.items()
        if name.endswith(kind)
    )


def _row(result):
    calls = ", ".join(
        f"{rate:.2f} {kind}"
        for kind, rate in result.calls_per_s_by_kind.items()
        if rate
    )
    values = (
        result.kind,
        result.daemons,
        f"{result.bytes_per_s:.0f}",
        f"{result.messages_per_s:.1f}",
        f"{100 * result.cpu:.2f}",
        f"{result.memory_bytes / 1024:.0f}",
        f"{result.base_bytes / 1e6:.0f}",
        calls,
        result.waiting_watches,
        f"{result.leaving_s:.2f}",
        f"{result.dead_s:.2f}",
    )
    return "| " + " | ".join(map(str, values)) + " |"
