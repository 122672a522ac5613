"""All control messages share one codec."""

import importlib
import pkgutil
import typing

import pytest

from anvilwell_daemon.peers import registry as registries
from anvilwell_kernel import exceptions
from anvilwell_kernel import messages


def make_kind(module):
    class Told(typing.NamedTuple):
        number: int

    Told.__module__ = module
    return Told


class Other(typing.NamedTuple):
    number: int


def test_second_kind_of_one_name_is_refused_where_it_is_declared():
    first, second = make_kind("leases"), make_kind("rollout")
    registry = registries.Registry()
    registry.declare([first])
    registry.declare([first])
    with pytest.raises(exceptions.DuplicateKind, match="leases and in rol"):
        registry.declare([Other, second])
    with pytest.raises(exceptions.DuplicateKind):
        registry.on(second, None)
    frame = registry.codec.encode(first(3))
    assert registry.codec.decode(frame) == first(3)
    with pytest.raises(exceptions.MalformedMessage):
        registry.codec.decode(registry.codec.encode(Other(3)))


# These travel on the data links, which have a codec of their own.
ON_DATA_LINKS = {"links", "requests"}


def test_kinds_of_all_control_modules_fit_into_one_codec():
    modules = [
        importlib.import_module(f"{messages.__name__}.{found.name}")
        for found in pkgutil.iter_modules(messages.__path__)
        if found.name not in ON_DATA_LINKS
    ]
    kinds = [getattr(module, "KINDS", ()) for module in modules]
    assert sum(map(bool, kinds)) > 3
    registry = registries.Registry()
    for some in kinds:
        registry.declare(some)
