"""An engine is moved to what was wanted, not on and on."""

import types

from anvilwell_gateway import engine as engines
from anvilwell_gateway import version_loading

MODEL = "m"


class _Engine:
    """Has each version ordered at its next report."""

    def __init__(self, versions):
        self._versions = versions
        self.version = 5
        self.ordered = []

    async def report(self):
        return engines.EngineReport("r", {MODEL: self.version}, False, 0, 0)

    async def order(self, order):
        self.ordered.append(order.version)
        self.version = order.version
        # The trainer's next step is named while the engine loads.
        self._versions.wanted_by_model[MODEL] += 1
        return engines.OrderResult.ACCEPTED


class _EngineClaims:
    async def obtain_fencing(self, address):
        return 1


def test_a_version_named_during_a_load_is_left_to_others(run_virtual):
    """Of six engines none was free for a step that came with two versions.

    All of them went on to the second one, which half of them were to skip:
    the step's first item waited 2.75 s.
    """
    versions = types.SimpleNamespace(wanted_by_model={MODEL: 6})
    engine = _Engine(versions)
    loader = version_loading.VersionLoader(
        engine, "a:1", "vm", _EngineClaims(), versions
    )

    report = run_virtual(loader.load(MODEL, lambda: True, lambda _: None))

    assert engine.ordered == [6]
    assert report.version_by_model[MODEL] == 6
