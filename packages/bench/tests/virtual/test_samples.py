"""The samples bench: equal seeds give equal runs, faults lose nothing."""

import pytest

from anvilwell_bench.virtual import driver as drivers
from anvilwell_bench.virtual import samples_cost
from anvilwell_bench.virtual import samples_measures as measures
from anvilwell_bench.virtual import samples_workload as workload
from anvilwell_bench.virtual import samples_world as worlds

SMALL = workload.ASSOCIATION._replace(groups=8, prompts=32, replicas=2)
FAULTS = [
    drivers.Fault("crash", "e0", 20.0, 21.0),
    drivers.Fault("stuck", "e1", 30.0, 40.0),
    drivers.Fault("outage", "keyvalue", 50.0, 60.0),
    drivers.Fault("crash", "entry", 90.0, 91.0),
]


def test_equal_seeds_give_equal_results():
    first, second = (
        measures.train(SMALL, worlds.Options(), 3, steps=2) for _ in range(2)
    )
    assert first == second


@pytest.mark.parametrize("options", [measures.PLAIN, worlds.Options()])
def test_steps_are_whole_within_the_bound_under_faults(options):
    found = measures.train(SMALL, options, 3, steps=3, faults=FAULTS)
    assert found.breaches == 0
    assert found.staleness_max <= SMALL.bound


def test_no_round_beats_its_lower_bound():
    found = measures.rounds(SMALL, worlds.Options(), 3, steps=3)
    assert found.ratio_p50 >= 1.0


def test_lengths_do_not_depend_on_the_order_of_asking():
    work = workload.Workload(SMALL, drivers.Driver(5))
    step = work.step("run0", 1)
    ids = step.sample_ids()[:4]
    group = step.groups[0]
    forth = [work.tokens(i, group) for i in ids]
    back = [work.tokens(i, group) for i in reversed(ids)]
    assert forth == back[::-1]


def test_every_sample_of_the_cost_run_is_recorded(monkeypatch):
    monkeypatch.setattr(samples_cost, "SAMPLES", 32)
    cost = samples_cost.measure(3)
    assert cost.samples == 9 * 32
    assert cost.microseconds_a_sample > 0
