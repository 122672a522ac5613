"""Tests how tasks are cancelled."""

import asyncio

import eliot
import pytest

from anvilwell_gateway import tasks


@pytest.fixture
def lines():
    """Return the list that log lines are added to."""
    found = []
    eliot.add_destinations(found.append)
    yield found
    eliot.remove_destination(found.append)


def test_a_task_that_had_failed_is_logged(lines):
    """Guards against a failure that is never logged.

    The task had failed long before it was stopped.
    """

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
