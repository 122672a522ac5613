"""Tests which replicas count as cold."""

from anvilwell_decisions.requests import cold_states

LAG_S = cold_states.MAX_REGISTRATION_AGE_S


def test_a_new_replica_is_cold_until_a_later_registration():
    """Guard against an old registration that says warm after a return."""
    states = cold_states.ColdStates()
    assert states.is_cold("r")
    assert states.registered("r", 0.0, 10.0)
    assert not states.registered("r", 0.0, 10.0 + LAG_S / 2)
    assert states.is_cold("r")
    assert states.registered("r", 0.0, 10.0 + LAG_S)
    assert not states.is_cold("r")
    states.gone("r")
    states.registered("r", 0.0, 20.0)
    assert states.cold_ids == {"r"}


def test_a_warm_replica_is_cold_again_if_its_registration_says_so():
    """Guard against a cold replica that is known as warm."""
    states = cold_states.ColdStates()
    states.registered("r", 0.0, 0.0)
    states.registered("r", 0.0, LAG_S)
    assert states.registered("r", 2.5, LAG_S + 1)
    assert states.is_cold("r")
    assert states.registered("r", 0.0, LAG_S + 2)
