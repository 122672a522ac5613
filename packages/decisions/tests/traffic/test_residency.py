"""Tests of where allowed regions let a request run and its body be."""

from anvilwell_decisions.traffic import facts
from anvilwell_decisions.traffic import regions
from anvilwell_decisions.traffic import residency
from anvilwell_kernel import exceptions
import pytest

KNOWN = {"n1": "north", "n2": "north", "s1": "south", "e1": "east"}
NORTH = frozenset({"north"})
SOUTH = frozenset({"south"})
ROUTE = facts.Route("r", "h", "/", (), allowed_regions=NORTH)


def test_both_lists_apply():
    """Guard against one list replacing the other, or None allowing none."""
    both = residency.allowed_regions(NORTH | SOUTH, None, SOUTH)
    assert both == SOUTH
    assert residency.allowed_regions(NORTH, SOUTH) == frozenset()
    assert residency.allowed_regions(None, None) is None


def test_lists_without_a_common_region_refuse_the_request():
    """Guard against a 503 that a caller would retry in vain."""
    with pytest.raises(exceptions.RegionNotAllowed) as caught:
        residency.check(ROUTE, facts.Organisation("o", (), None, SOUTH))
    assert caught.value.status == 403
    residency.check(ROUTE, facts.Organisation("o", (), None, NORTH | SOUTH))
    residency.check(ROUTE, None)


def test_a_body_stays_in_allowed_regions_and_at_the_callers_entry():
    """Guard against bodies in regions that are unknown or not allowed."""
    domains = (*KNOWN, "unknown")
    bounds = residency.Bounds(NORTH, regions.Regions("s1", KNOWN))
    assert {one for one in domains if bounds.may_run(one)} == {"n1", "n2"}
    assert {one for one in domains if bounds.may_hold(one)} == {"n1", "n2"}
    assert {one for one in domains if bounds.may_hold(one, True)} == {
        "n1",
        "n2",
        "s1",
    }
    assert not bounds.may_own
    assert bounds.owners({"v1": "n2", "v2": "s1", "v3": ""}) == {"v1"}


def test_nothing_is_allowed_at_a_vm_whose_region_is_unknown():
    """Guard against an unknown region that equals another unknown one."""
    bounds = residency.Bounds(NORTH, regions.Regions("x", KNOWN))
    assert not bounds.may_own
    assert not bounds.may_hold("y", is_callers_entry=True)
