"""Routes are found by host and longest prefix; older versions rejected."""

import collections
import random

from anvilwell_decisions.traffic import facts
from anvilwell_decisions.traffic import table
import hypothesis
from hypothesis import strategies


def _route(prefix, host="a.example", **targets):
    shares = tuple(facts.WeightedService(*pair) for pair in targets.items())
    return facts.Route(prefix, host, prefix, shares or ())


def test_the_longest_prefix_of_the_host_wins():
    routes = table.RouteTable(
        [_route("/a/"), _route("/a/b/"), _route("/", "b.example")]
    )

    assert routes.find("A.example", "/a/b/c").path_prefix == "/a/b/"
    assert routes.find("a.example", "/a/bc").path_prefix == "/a/"
    assert routes.find("b.example", "/a/b/c").path_prefix == "/"
    assert routes.find("a.example", "/other") is None
    assert routes.find("c.example", "/a/") is None


def test_services_are_drawn_by_weight():
    rng = random.Random(1)
    route = _route("/", x=90.0, y=10.0, z=0.0)

    drawn = collections.Counter(
        table.choose_service(route, rng) for _ in range(1000)
    )

    assert drawn["z"] == 0
    assert 60 < drawn["y"] < 140
    assert [table.routes_to(route, name) for name in "xyz"] == [1, 1, 0]


@hypothesis.given(strategies.lists(strategies.integers(0, 9)))
def test_an_older_configuration_is_rejected(versions):
    newest = table.NewestConfiguration()

    in_force = []
    for version in versions:
        newest.take(facts.Configuration(version, (), {}, None))
        in_force.append(newest.configuration.version)

    assert in_force == sorted(in_force)
