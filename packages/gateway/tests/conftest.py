"""An event loop in virtual time, which advances from timer to timer."""

import asyncio

from anvilwell_gateway_standins import follower_world as worlds
import pytest


class VirtualLoop(asyncio.SelectorEventLoop):
    """Advances its clock to the next timer when no callback is ready."""

    def __init__(self):
        super().__init__()
        self._now = 0.0

    def time(self):
        return self._now

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0].when())
        super()._run_once()


@pytest.fixture(scope="session")
def run_virtual():
    """Return a function that runs a coroutine in virtual time."""

    def run(coroutine):
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            return runner.run(coroutine)

    return run


@pytest.fixture(scope="session")
def run_scenario(run_virtual):
    """Return a function that runs a scenario in a settled world."""

    def run(scenario, domains_by_name=worlds.ONE_DOMAIN, **kwargs):
        async def settled():
            world = worlds.World(domains_by_name, **kwargs)
            world.store.write(1)
            # Long enough for two watches of the store to return without
            # changes.
            await asyncio.sleep(20.0)
            try:
                return await scenario(world)
            finally:
                await world.stop()

        return run_virtual(settled())

    return run
