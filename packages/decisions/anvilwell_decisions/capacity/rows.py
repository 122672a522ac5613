"""Calculates capacity figures from a fleet and measured lines."""

import enum
import typing

from anvilwell_decisions.capacity import target as targets

# Growth of the fleet up to which the breaking point is searched.
LARGEST_FACTOR = 1000.0
# Bisection steps of that search.
_STEPS = 40


class Verdict(enum.StrEnum):
    """Whether a figure stays within its budget."""

    HOLDS = "holds"
    FAILS = "does not hold"
    STATED = "no limit given"


class Reading(enum.StrEnum):
    """How the number of daemons in the target is interpreted.

    ``SHARED``: it includes the agents. Each daemon is an entry and also the
    agent of several replicas. ``APART``: all of them are entries, and each
    replica has a daemon of its own as its agent in addition. ``EITHER``: the
    figure is the same in both cases.
    """

    SHARED = "A"
    APART = "B"
    EITHER = "A, B"


class Figure(typing.NamedTuple):
    """The definition of one figure.

    Attributes
    ----------
    role, what : str
        The component that the figure is about, and what it counts.
    unit : str
        Unit of the value.
    value : callable
        Takes a ``target.Fleet`` and the lines by name; returns the value.
    formula : str
        The calculation in a readable form.
    slopes : tuple of str
        Names of the lines that it is calculated from.
    mechanism : str
        The design choice that determines the value.
    budget : float or None
        The largest allowed value, None if there is no limit.
    reading : Reading
        The interpretation that it is calculated for, the more demanding one.
    next_step : str
        What to do if the budget is exceeded.
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
    """The value of a figure for one fleet.

    ``headroom`` is the budget divided by the value. ``breaks_at`` is the
    factor by which the whole fleet and its load can grow before the value
    exceeds the budget; it is infinite above `LARGEST_FACTOR`.
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


def compute_row(figure, fleet, lines_by_name):
    """Return the `Row` of `figure` for `fleet`."""
    value = figure.value(fleet, lines_by_name)
    headroom, verdict, breaks_at = None, Verdict.STATED, None
    if figure.budget is not None:
        headroom = figure.budget / value if value else float("inf")
        is_within_budget = value <= figure.budget
        verdict = Verdict.HOLDS if is_within_budget else Verdict.FAILS
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
    """Return the growth factor at which the budget is reached."""

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
