"""Reported loads expire: contention soon, counts later, slots never."""

import pytest

from anvilwell_decisions.requests import server_loads


@pytest.fixture
def loads():
    loads = server_loads.ServerLoads()
    loads.record("r1", server_loads.ServerLoad(5, 2, 8, 2.5), 10.0)
    return loads


def test_contention_expires(loads):
    assert loads.contention("r1", 10.2) == 2.5
    assert loads.contention("r1", 10.5) == server_loads.NO_CONTENTION


def test_counts_outlive_contention_and_slots_outlive_both(loads):
    assert loads.counts("r1", 11.0).in_flight == 7
    assert loads.counts("r1", 13.0) is None
    assert loads.slots("r1") == 8


def test_unknown_and_forgotten_replicas_have_no_load(loads):
    loads.forget("r1")
    assert loads.slots("r1") == 0
    assert loads.counts("r1", 10.0) is None
    assert loads.contention("r2", 10.0) == server_loads.NO_CONTENTION


def test_contention_may_be_missing(loads):
    loads.record("r1", server_loads.ServerLoad(5, 2, 8), 10.1)
    assert loads.contention("r1", 10.1) == server_loads.NO_CONTENTION
