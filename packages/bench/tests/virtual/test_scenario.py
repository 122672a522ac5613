"""The scenario repeats itself, and its counts are consistent."""

from anvilwell_bench.virtual import request_tables
from anvilwell_bench.virtual import scenario

SHORT = scenario.Conditions(seed=7, load=0.5, duration_s=5.0)


def test_equal_seeds_give_equal_figures():
    first = scenario.run(request_tables.OURS, SHORT)
    assert first == scenario.run(request_tables.OURS, SHORT)
    assert first != scenario.run(request_tables.OURS, SHORT._replace(seed=8))


def test_every_live_request_is_answered_or_refused_once():
    figures = scenario.run(
        request_tables.OURS, SHORT._replace(load=3.0, training_loops=0)
    )
    refused = sum(figures.refusals_by_reason.values())
    assert refused > 0
    assert figures.live_on_time + refused <= figures.live_offered


def test_live_and_training_both_go_on_below_capacity():
    figures = scenario.run(request_tables.OURS, SHORT)
    assert figures.on_time_share > 0.9
    assert figures.training_tokens_s > 0
    assert 1.0 <= figures.amplification < 1.2


def test_a_fault_makes_retries():
    conditions = request_tables.half_down(SHORT)._replace(duration_s=15.0)
    with_fault = scenario.run(request_tables.OURS, conditions)
    without = scenario.run(request_tables.OURS, conditions._replace(faults=()))
    assert with_fault.amplification > without.amplification
