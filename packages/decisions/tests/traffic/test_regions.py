"""Test the distances between failure domains."""

from anvilwell_decisions.traffic import regions


def test_distances_follow_domains_and_regions():
    known = regions.Regions("a", {"a": "north", "b": "north", "c": "south"})

    distances = [known.distance(domain) for domain in "abc"]
    assert distances == list(regions.Distance)
    assert known.has_several


def test_without_regions_all_domains_share_one():
    """Guard against deployments without regions being split into many."""
    known = regions.Regions("a")

    assert known.distance("b") is regions.Distance.SAME_REGION
    assert not known.has_several


def test_an_unknown_failure_domain_is_in_another_region():
    """Guard against data sent to a place whose region is not known."""
    known = regions.Regions("a", {"a": "north"})

    assert known.distance("x") is regions.Distance.OTHER_REGION
