"""The state machines of the control plane run enough examples in total."""

import importlib.util
import pathlib
import sys
import unittest

import hypothesis

HERE = pathlib.Path(__file__).parent
MIN_EXAMPLES = 2000
MACHINES = (
    "configuration/test_agreement.py",
    "leases/test_leases.py",
    "rollout/test_rollout.py",
)
FLEET_MACHINE = "membership/test_fleet_machine.py"


def load(path):
    """Import a test module by its path, as pytest does here."""
    name = f"examples_{pathlib.Path(path).stem}"
    spec = importlib.util.spec_from_file_location(name, HERE / path)
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module


def examples(module):
    cases = [
        found
        for found in vars(module).values()
        if isinstance(found, type) and issubclass(found, unittest.TestCase)
    ]
    assert cases, f"{module.__name__} has no state machine"
    return sum(case.settings.max_examples for case in cases)


def test_control_machines_run_at_least_2000_examples(monkeypatch):
    """Counts configuration, leases with fencing, rollout and membership."""
    monkeypatch.syspath_prepend(str(HERE / "configuration"))
    counts = {path: examples(load(path)) for path in MACHINES}
    counts[FLEET_MACHINE] = load(FLEET_MACHINE).EXAMPLES
    print(counts, sum(counts.values()))
    assert sum(counts.values()) >= MIN_EXAMPLES, counts
    assert hypothesis.settings.default.max_examples >= 100
