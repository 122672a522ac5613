"""The time that asking members takes."""

from anvilwell_daemon.configuration import absence
from anvilwell_daemon.configuration import spread
from anvilwell_decisions.configuration import limits


def test_silent_member_does_not_hide_the_others_of_its_domain():
    one_s = spread.MEMBER_TIMEOUT_S + absence.PROBE_TIMEOUT_S
    assert one_s < spread.RELAY_TIMEOUT_S
    assert spread.RELAY_TIMEOUT_S + one_s < limits.Limits().prepare_s


def test_proposer_and_first_resolver_do_not_race():
    bounds = limits.Limits()
    assert bounds.prepare_s < bounds.resolve_s < bounds.fence_s
    assert bounds.sponsor_s <= bounds.fence_s
