"""Calculates all capacity rows of a fleet."""

import itertools

from anvilwell_decisions.capacity.roles import agent
from anvilwell_decisions.capacity.roles import bad_days
from anvilwell_decisions.capacity.roles import configuration
from anvilwell_decisions.capacity.roles import control
from anvilwell_decisions.capacity.roles import entry
from anvilwell_decisions.capacity.roles import keyvalue
from anvilwell_decisions.capacity.roles import ledger
from anvilwell_decisions.capacity.roles import rollout
from anvilwell_decisions.capacity.roles import stores
from anvilwell_decisions.capacity import rows as capacity_rows

_MODULES = (
    control,
    entry,
    agent,
    ledger,
    rollout,
    configuration,
    keyvalue,
    stores,
    bad_days,
)
FIGURES = tuple(
    itertools.chain.from_iterable(module.FIGURES for module in _MODULES)
)


def rows(fleet, lines_by_name):
    """Return a `rows.Row` for every figure, ordered by role."""
    return [
        capacity_rows.compute_row(figure, fleet, lines_by_name)
        for figure in FIGURES
    ]


def tightest(found, count=3):
    """Return the `count` rows with the least headroom."""
    limited = [row for row in found if row.headroom is not None]
    return sorted(limited, key=lambda row: row.headroom)[:count]
