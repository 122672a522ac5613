"""The acts that ``make slopes`` measures."""

import importlib
import inspect
import itertools
import pkgutil

from anvilwell_bench.slopes import act
from anvilwell_bench.slopes import acts


def all_acts():
    """Return an instance of every act, ordered by name."""
    modules = (
        importlib.import_module(f"{acts.__name__}.{info.name}")
        for info in pkgutil.iter_modules(acts.__path__)
    )
    found = itertools.chain.from_iterable(map(_acts_of, modules))
    return sorted(found, key=lambda one: one.name)


def _acts_of(module):
    return [
        kind()
        for _, kind in inspect.getmembers(module, inspect.isclass)
        if issubclass(kind, act.Act)
        and kind.__module__ == module.__name__
        and not inspect.isabstract(kind)
    ]
