"""What joins cost that begin in one instant."""

import itertools

from anvilwell_bench.configuration import mass_join


def tries_each(joiners):
    joins = mass_join.measure(joiners, listed=100)
    return joins.swaps / joiners


def test_one_joiner_tries_once():
    assert tries_each(1) == 1


def test_tries_of_a_joiner_grow_far_slower_than_the_joiners():
    few, many = tries_each(10), tries_each(80)
    assert 1 < few < many < 3 * few


def test_joiners_without_pauses_are_seen_to_cost_the_square(monkeypatch):
    monkeypatch.setattr(
        mass_join.joining, "pauses", lambda rng: itertools.repeat(0.0)
    )
    assert tries_each(40) > 15


def test_list_of_the_largest_service_is_well_under_the_limit():
    assert mass_join.list_bytes(mass_join.LISTED) < 400_000
