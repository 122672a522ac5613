"""Compares two runs of the slopes within their stated spread."""

import typing

TOLERANCE = 0.35


class Difference(typing.NamedTuple):
    """A slope that moved by more than its stated spread."""

    name: str
    before: float
    after: float
    allowed: float


def allowed(line):
    """Return how far a repeated slope may lie from `line`'s.

    The spread of the single repeats, or `TOLERANCE` of the slope where
    the repeats of one run agree better than two runs can. Where a cost
    hardly grows the slope is the noise of its constant part: then what
    counts is `TOLERANCE` of the cost at the largest size.

    Parameters
    ----------
    line : lines.Line

    Returns
    -------
    float
        In the slope's unit.
    """
    largest = max(point.size for point in line.points)
    steepest = max(abs(line.slope), abs(line.at(largest)) / largest)
    return max(line.spread, TOLERANCE * steepest)


def differences(before_by_name, after_by_name):
    """Return a `Difference` for each slope outside its spread."""
    pairs = [
        (line, after_by_name[name])
        for name, line in before_by_name.items()
        if name in after_by_name
    ]
    return [
        Difference(old.name, old.slope, new.slope, allowed(old))
        for old, new in pairs
        if abs(new.slope - old.slope) > allowed(old)
    ]


def table(before_by_name, after_by_name):
    """Return a text that sets each slope beside its earlier one."""
    rows = [
        _row(line, before_by_name.get(name))
        for name, line in after_by_name.items()
    ]
    return "\n".join(rows)


def _row(line, before):
    text = (
        f"{line.name:30} {line.slope:12.5g} {line.unit} per {line.grows_with}"
    )
    if before is None:
        return f"{text}; new"
    is_within = not differences({line.name: before}, {line.name: line})
    verdict = "within" if is_within else "OUTSIDE"
    return (
        f"{text}; before {before.slope:.5g} +- {allowed(before):.3g}:"
        f" {verdict}"
    )
