"""The figures of a relay measurement, as lines to read."""

import typing

_US_PER_MS = 1000
_KIB = 1024


class Cost(typing.NamedTuple):
    """What one process spent in a run."""

    cpu_s: float
    memory_bytes: float


def latency_lines(direct, relayed):
    """Return lines on the latency that the relay adds."""
    return [
        _latency_line("first token", direct.first_us, relayed.first_us),
        _latency_line("whole answer", direct.total_us, relayed.total_us),
    ]


def _latency_line(name, direct, relayed):
    parts = []
    for percentile in (50, 99):
        own = direct.get_value_at_percentile(percentile) / _US_PER_MS
        through = relayed.get_value_at_percentile(percentile) / _US_PER_MS
        parts.append(
            f"p{percentile} {own:.1f} -> {through:.1f} ms"
            f" ({through - own:+.1f})"
        )
    return f"{name}: {', '.join(parts)}"


def load_lines(result, costs_by_process, streams):
    """Return lines on a run under load.

    Parameters
    ----------
    result : streams.Result
        What the callers saw.
    costs_by_process : dict
        The `Cost` of ``entry`` and ``agent``.
    streams : int
        Streams that were open at a time.
    """
    requests_s = result.whole / result.duration_s
    tokens_s = result.tokens / result.duration_s
    lines = [
        f"answers: {result.whole} whole, {result.failed} failed"
        f" in {result.duration_s:.1f} s",
        f"rate: {requests_s:.1f} requests/s, {tokens_s:.0f} tokens/s",
    ]
    for process, cost in costs_by_process.items():
        cores = cost.cpu_s / result.duration_s
        lines.append(
            f"{process}: {cores:.3f} cores,"
            f" {requests_s / cores:.0f} requests/s"
            f" and {tokens_s / cores:.0f} tokens/s per core,"
            f" {cost.memory_bytes / streams / _KIB:.0f} KiB a stream"
        )
    return lines
