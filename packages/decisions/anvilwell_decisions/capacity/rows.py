"""Figures worked out of a fleet and the measured lines, as typed rows."""

import enum
import typing

from anvilwell_decisions.capacity import target as targets

LARGEST_FACTOR = 1000.0
_STEPS = 40


class Verdict(enum.StrEnum):
    """Whether a figure stays within its limit."""

    HOLDS = "holds"
    FAILS = "does not hold"
    STATED = "no limit given"


class Reading(enum.StrEnum):
    """What the daemons of the target are, as a row reads it.

    ``SHARED``: agents are among them, each for several replicas, so
    that a daemon has both roles. ``APART``: they are entries, and a
    daemon stands beside each replica besides. ``EITHER`` where it makes
    no difference.
    """

    SHARED = "A"
    APART = "B"
    EITHER = "A, B"


class Figure(typing.NamedTuple):
    """How one figure is worked out.

    Attributes
    ----------
    role, what : str
        Whose it is, and what.
    unit : str
        Unit of the value.
    value : callable
        Takes a ``target.Fleet`` and the lines by name.
    formula : str
        The same for people.
    slopes : tuple of str
        Names of the lines it rests on.
    mechanism : str
        What carries it.
    budget : float or None
        Largest value allowed, None if none is given.
    reading : Reading
        The harder reading, for which it is worked out.
    next_step : str
        What to do once it does not hold.
    """

    role: str
    what: str
    unit: str
    value: typing.Callable
    formula: str
    slopes: tuple
    mechanism: str
    budget: float | None = None
    reading: Reading = Reading.EITHER
    next_step: str = ""


class Row(typing.NamedTuple):
    """A figure for one fleet.

    ``headroom`` is the budget over the value. ``breaks_at`` is how many
    times the whole fleet and its load could grow before the value is
    over its budget; infinite above `LARGEST_FACTOR`.
    """

    role: str
    what: str
    value: float
    unit: str
    formula: str
    slopes: tuple
    mechanism: str
    budget: float | None
    headroom: float | None
    verdict: Verdict
    breaks_at: float | None
    reading: Reading
    next_step: str


def work_out(figure, fleet, lines_by_name):
    """Return the `Row` of `figure` for `fleet`."""
    value = figure.value(fleet, lines_by_name)
    headroom, verdict, breaks_at = None, Verdict.STATED, None
    if figure.budget is not None:
        headroom = figure.budget / value if value else float("inf")
        is_held = value <= figure.budget
        verdict = Verdict.HOLDS if is_held else Verdict.FAILS
        breaks_at = _breaking_factor(figure, fleet, lines_by_name)
    return Row(
        figure.role,
        figure.what,
        value,
        figure.unit,
        figure.formula,
        figure.slopes,
        figure.mechanism,
        figure.budget,
        headroom,
        verdict,
        breaks_at,
        figure.reading,
        figure.next_step,
    )


def _breaking_factor(figure, fleet, lines_by_name):
    """Return the factor of growth at which the budget is reached."""

    def is_within(factor):
        grown = targets.scaled(fleet, factor)
        return figure.value(grown, lines_by_name) <= figure.budget

    low, high = 1 / LARGEST_FACTOR, LARGEST_FACTOR
    if is_within(high):
        return float("inf")
    if not is_within(low):
        return 0.0
    for _ in range(_STEPS):
        middle = (low * high) ** 0.5
        low, high = (middle, high) if is_within(middle) else (low, middle)
    return low
