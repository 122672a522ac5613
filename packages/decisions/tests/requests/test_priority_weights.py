"""Weights fall with the priority's rank, down to a minimum."""

import pytest

from anvilwell_decisions.requests import priority_weights
from anvilwell_decisions.traffic import facts


@pytest.mark.parametrize(
    ("priority", "highest", "weight"),
    [(0, 0, 1.0), (1, 0, 0.5), (2, 0, 0.25), (9, 0, 0.25), (3, 5, 1.0)],
)
def test_weight_halves_per_rank_down_to_a_quarter(priority, highest, weight):
    assert priority_weights.weight(priority, highest) == weight


def test_highest_priority_of_routes_and_organisations():
    route = facts.Route("r", "h", "/", (), priority=3)
    organisations = (
        facts.Organisation("a", ()),
        facts.Organisation("b", (), priority=2),
    )
    configuration = facts.Configuration(1, (route,), {}, None, organisations)
    assert priority_weights.highest_priority(configuration) == 2
    bare = configuration._replace(organisations=())
    assert priority_weights.highest_priority(bare) == 3
