import pathlib

from anvilwell_bench.slopes import page
from anvilwell_bench.slopes import registry
from anvilwell_decisions.capacity import data
from anvilwell_decisions.capacity import plan

PAGE = (
    pathlib.Path(__file__).parents[4]
    / "docs"
    / "design"
    / "capacity-of-the-daemon.md"
)


def test_committed_page_is_what_the_committed_slopes_give():
    assert PAGE.read_text() == page.render(data.read())


def test_every_act_is_in_the_committed_slopes_and_no_other():
    names = [one.name for one in registry.all_acts()]

    assert sorted(data.read()["lines_by_name"]) == names


def test_every_row_rests_on_measured_slopes_only():
    measured = data.read()["lines_by_name"]
    used = {name for one in plan.FIGURES for name in one.slopes}

    assert used <= set(measured)


def test_every_act_has_four_sizes_and_three_repeats():
    for raw in data.read()["lines_by_name"].values():
        sizes = [size for size, _ in raw["points"]]
        assert len(set(sizes)) >= 4
        assert all(sizes.count(size) == 3 for size in sizes)


def test_figures_have_three_digits():
    assert page.figure(1234567.0) == "1,234,567"
    assert page.figure(12.345) == "12.3"
    assert page.figure(0.012345) == "0.0123"
    assert page.factor(float("inf")) == "-"
