"""The agent learns from what its backend server reports."""

import asyncio

from anvilwell_daemon.agent.backends import base
from anvilwell_daemon.agent import service as agents
from anvilwell_decisions.requests import admission
from anvilwell_decisions.requests import limits
from anvilwell_kernel import clock as clocks
from anvilwell_kernel.messages import links
from anvilwell_kernel import services
from anvilwell_outside.ports import engine


class FullEngine(base.Backend):
    def run(self, start, timeout_s):
        raise NotImplementedError

    def cancel(self, start):
        raise NotImplementedError

    def load(self):
        return engine.Load(running=3, waiting=2, cache_share=0, version="8")


class FakeListener(services.Service):
    name = "listener"

    def mount(self, path, handler):
        pass


def test_an_engine_that_lets_requests_wait_caps_the_agents_limit():
    gate = admission.Admission(
        admission.AdmissionSettings(bounds=limits.LimitBounds(initial=8))
    )
    hello = links.Hello("vm-1", "agent", "planner-lm", "d1", 1)
    agent = agents.Agent(hello, FullEngine(), gate, clocks.SystemClock())

    async def main():
        await agent.start(services.Kernel([FakeListener()]))
        async with asyncio.timeout(20):
            while gate.limit != 3:
                await asyncio.sleep(0.01)
        await agent.stop()

    asyncio.run(main())
