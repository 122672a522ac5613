"""How tasks are ended."""

import asyncio

import eliot
import pytest

from anvilwell_gateway import tasks


@pytest.fixture
def lines():
    """Return what is logged."""
    found = []
    eliot.add_destinations(found.append)
    yield found
    eliot.remove_destination(found.append)


def test_a_task_that_had_failed_leaves_a_line(lines):
    """A part that had failed long ago was stopped without a word."""

    async def fail():
        raise KeyError("gone")

    async def run():
        waiting = asyncio.create_task(asyncio.sleep(3600.0))
        failed = asyncio.create_task(fail())
        await asyncio.sleep(0)
        await tasks.stop(None, waiting, failed, cause="the end")
        assert waiting.cancelled()

    asyncio.run(run())
    assert [one["cause"] for one in lines] == [repr(KeyError("gone"))]
