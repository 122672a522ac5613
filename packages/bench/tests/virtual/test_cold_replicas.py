"""Tests the limit for cold replicas over all entries, in virtual time."""

import pytest

from anvilwell_bench.virtual import cold_replicas

KEPT, _, EACH = cold_replicas.APPROACHES


@pytest.mark.parametrize("scenario", cold_replicas.SCENARIOS)
@pytest.mark.parametrize("count", [3, 26])
@pytest.mark.parametrize("approach", [KEPT, EACH], ids=lambda one: one.name)
def test_no_second_holds_more_requests_than_the_limit(
    approach, count, scenario
):
    """Guard against crashes by several senders, whatever each believes."""
    figures = cold_replicas.run(approach, scenario, count)
    assert 0 < figures.worst <= cold_replicas.LIMIT


def test_the_rate_is_used():
    """Guard against a limit that keeps cold replicas idle."""
    figures = cold_replicas.run(KEPT, "no fault", 26, only_home=True)
    assert figures.admitted >= 2 / 3 * 11 * cold_replicas.COLD_S
