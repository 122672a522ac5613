import pytest

from anvilwell_decisions.capacity import data
from anvilwell_decisions.capacity import plan
from anvilwell_decisions.capacity import rows
from anvilwell_decisions.capacity import target

FLEET = target.TARGET


def _figure(value, budget):
    return rows.Figure("role", "what", "unit", value, "f", (), "m", budget)


def test_headroom_and_breaking_factor_of_a_line():
    figure = _figure(lambda fleet, lines: fleet.replicas, 2 * FLEET.replicas)

    row = rows.compute_row(figure, FLEET, {})

    assert row.verdict is rows.Verdict.HOLDS
    assert row.headroom == pytest.approx(2)
    assert row.breaks_at == pytest.approx(2)


def test_a_value_over_its_budget_does_not_hold():
    figure = _figure(lambda fleet, lines: fleet.replicas, 510)

    row = rows.compute_row(figure, FLEET, {})

    assert row.verdict is rows.Verdict.FAILS
    assert row.headroom == pytest.approx(0.1)
    assert row.breaks_at == pytest.approx(0.1)


def test_a_constant_value_has_an_infinite_breaking_factor():
    row = rows.compute_row(_figure(lambda fleet, lines: 1.0, 2.0), FLEET, {})

    assert row.breaks_at == float("inf")


def test_a_row_without_budget_has_the_verdict_stated():
    row = rows.compute_row(_figure(lambda fleet, lines: 1.0, None), FLEET, {})

    assert row.verdict is rows.Verdict.STATED
    assert row.headroom is None


def test_a_failing_row_of_the_target_names_its_next_step():
    found = plan.rows(FLEET, data.lines_by_name(data.read()))
    failing = [row for row in found if row.verdict is rows.Verdict.FAILS]

    assert [row.what for row in failing if not row.next_step] == []


def test_figures_have_unique_names():
    names = [(one.role, one.what, one.unit) for one in plan.FIGURES]

    assert len(names) == len(set(names))


def test_a_larger_fleet_never_costs_less():
    lines = data.lines_by_name(data.read())
    small = plan.rows(target.scaled(FLEET, 0.5), lines)
    large = plan.rows(FLEET, lines)

    assert len(small) == len(large)
    for before, after in zip(small, large, strict=True):
        if before.breaks_at not in (None, float("inf")):
            assert after.value >= before.value * 0.99
