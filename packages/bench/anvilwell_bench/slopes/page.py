"""Renders the capacity page from the measured slopes."""

import itertools
import math

import jinja2

from anvilwell_bench.slopes import act
from anvilwell_decisions.capacity import assumptions
from anvilwell_decisions.capacity import data
from anvilwell_decisions.capacity import plan
from anvilwell_decisions.capacity import rows as capacity_rows
from anvilwell_decisions.capacity import target

TEMPLATE = "capacity.md.j2"
_NONE = "-"


def render(measurement):
    """Return the page's text for a ``data.Measurement``."""
    lines_by_name = data.lines_by_name(measurement)
    found = plan.rows(target.TARGET, lines_by_name)
    limited = [row for row in found if row.budget is not None]
    failing = [
        row for row in limited if row.verdict is capacity_rows.Verdict.FAILS
    ]
    return (
        _environment()
        .get_template(TEMPLATE)
        .render(
            machine=measurement["machine"],
            python=measurement["python"],
            commit=measurement["commit"],
            fleet=target.TARGET,
            budget=target.BUDGET,
            reference_us=act.REFERENCE_US,
            assumptions=_assumptions(),
            rows_by_role=_by_role(found),
            lines=list(lines_by_name.values()),
            limited=len(limited),
            held=len(limited) - len(failing),
            failing=failing,
            tightest=plan.tightest(found),
        )
    )


def figure(value):
    """Return `value` to three digits, with commas."""
    if value is None:
        return _NONE
    if value and abs(value) < 1:
        return f"{value:.3g}"
    digits = max(0, 2 - int(math.log10(abs(value)))) if value else 0
    return f"{value:,.{digits}f}"


def factor(value):
    """Return how many times, or a dash if there is no end to it."""
    if value is None or math.isinf(value):
        return _NONE
    return f"{figure(value)} x"


def _environment():
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("anvilwell_bench.slopes"),
        undefined=jinja2.StrictUndefined,
        autoescape=False,
        keep_trailing_newline=True,
    )
    environment.filters |= {"figure": figure, "factor": factor}
    return environment


def _by_role(found):
    groups = itertools.groupby(found, key=lambda row: row.role)
    return {role: list(group) for role, group in groups}


def _assumptions():
    return {
        name.lower().replace("_", " "): value
        for name, value in vars(assumptions).items()
        if name.isupper()
    }
