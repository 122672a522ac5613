"""Tests that a load ends at the version that was wanted at its start."""

import types

from anvilwell_gateway import engine as engines
from anvilwell_gateway import version_loading

MODEL = "m"


class _Engine:
    """Fake engine that reports each ordered version as loaded."""

    def __init__(self, versions):
        self._versions = versions
        self.version = 5
        self.ordered = []

    async def report(self):
        return engines.EngineReport("r", {MODEL: self.version}, False, 0, 0)

    async def order(self, order):
        self.ordered.append(order.version)
        self.version = order.version
        # The trainer names its next version while the engine loads.
        self._versions.wanted_by_model[MODEL] += 1
        return engines.OrderResult.ACCEPTED


class _EngineClaims:
    async def obtain_fencing(self, address):
        return 1


def test_a_version_named_during_a_load_is_left_to_others(run_virtual):
    """Guards against engines that all load two versions in a row.

    A trainer named two versions in quick succession, and all six engines
    loaded the second one too, although half of them should have skipped
    it. None was free, and the step's first item waited 2.75 s.
    """
    versions = types.SimpleNamespace(wanted_by_model={MODEL: 6})
    engine = _Engine(versions)
    loader = version_loading.VersionLoader(
        engine, "a:1", "vm", _EngineClaims(), versions
    )

    report = run_virtual(loader.load(MODEL, lambda: True, lambda _: None))

    assert engine.ordered == [6]
    assert report.version_by_model[MODEL] == 6
