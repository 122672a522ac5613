"""The lifecycle of a process, without signals of its own."""

import asyncio
import os

from anvilwell_daemon.process import runner
from anvilwell_kernel import services

LONG_S = 60.0


class Worker(services.Service):
    """Has one request in flight until it is let go."""

    name = "worker"

    def __init__(self):
        self.in_flight = ["request-1"]
        self.draining = asyncio.Event()
        self.done = asyncio.Event()

    async def drain(self):
        self.draining.set()
        await self.done.wait()
        self.in_flight = []


def _serve(scenario, limit_s=LONG_S):
    async def run():
        worker = Worker()
        kernel = services.Kernel([worker])
        await kernel.start()
        signals = asyncio.Queue()
        serving = asyncio.create_task(runner.serve(kernel, signals, limit_s))
        signals.put_nowait(15)
        await worker.draining.wait()
        assert kernel.is_draining
        scenario(worker, signals)
        async with asyncio.timeout(20):
            return await serving, kernel.in_flight()

    return asyncio.run(run())


def test_drain_waits_for_requests_in_flight():
    code, left = _serve(lambda worker, signals: worker.done.set())
    assert (code, left) == (os.EX_OK, {})


def test_second_signal_says_what_was_left():
    code, left = _serve(lambda worker, signals: signals.put_nowait(15))
    assert code == runner.EXIT_NOT_DRAINED
    assert left == {"worker": ["request-1"]}


def test_drain_limit_says_what_was_left():
    code, left = _serve(lambda worker, signals: None, limit_s=0.05)
    assert code == runner.EXIT_NOT_DRAINED
    assert left == {"worker": ["request-1"]}
