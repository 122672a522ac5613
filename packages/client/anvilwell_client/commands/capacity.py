"""``anvilwell capacity``: calculates what a fleet needs."""

import os

from anvilwell_client import printer
from anvilwell_decisions.capacity import data
from anvilwell_decisions.capacity import plan
from anvilwell_decisions.capacity import rows as capacity_rows
from anvilwell_decisions.capacity import target

_HEADS = ("role", "what", "value", "unit", "limit", "headroom", "verdict")


def capacity(args, options):
    """Print the capacity rows of a fleet and return an exit code."""
    lines_by_name = data.lines_by_name(data.read())
    found = plan.rows(fleet(options), lines_by_name)
    table = printer.table(list(_HEADS), map(_cells, found))
    printer.show(
        options,
        [_json_row(row) for row in found],
        printer.paragraphs(table, _summary(found)),
    )
    return os.EX_OK


def fleet(options):
    """Return the `target.Fleet` given by the flags."""
    given = {
        name: options[name].value
        for name in target.Fleet._fields
        if name in options and options[name].value is not None
    }
    return target.TARGET._replace(**given)


def _cells(row):
    return (
        row.role,
        row.what,
        f"{row.value:.3g}",
        row.unit,
        "-" if row.budget is None else f"{row.budget:.3g}",
        "-" if row.headroom is None else f"{row.headroom:.2g}",
        row.verdict,
    )


def _json_row(row):
    """Return `row` as a dict for JSON, with null for infinite values."""
    infinity = float("inf")
    return {
        name: None if value == infinity else value
        for name, value in row._asdict().items()
    }


def _summary(found):
    failing = [
        row for row in found if row.verdict is capacity_rows.Verdict.FAILS
    ]
    lines = [f"{len(failing)} rows do not hold"]
    return lines + [
        f"  {row.role}, {row.what}: {row.next_step}" for row in failing
    ]
