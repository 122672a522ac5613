"""What a replica tells holds for some time: slots long, moments not."""

import pytest

from anvilwell_decisions.requests import server_loads


@pytest.fixture
def known():
    known = server_loads.ServerLoads()
    known.record("r1", server_loads.ServerLoad(5, 2, 8, 2.5), 10.0)
    return known


def test_contention_is_a_moment(known):
    assert known.contention("r1", 10.2) == 2.5
    assert known.contention("r1", 10.5) == server_loads.NO_CONTENTION


def test_counts_outlive_contention_and_slots_outlive_both(known):
    assert known.counts("r1", 11.0).in_flight == 7
    assert known.counts("r1", 13.0) is None
    assert known.slots("r1") == 8


def test_nothing_is_known_of_others_or_of_the_gone(known):
    known.forget("r1")
    assert known.slots("r1") == 0
    assert known.counts("r1", 10.0) is None
    assert known.contention("r2", 10.0) == server_loads.NO_CONTENTION


def test_a_replica_may_tell_no_contention(known):
    known.record("r1", server_loads.ServerLoad(5, 2, 8), 10.1)
    assert known.contention("r1", 10.1) == server_loads.NO_CONTENTION
