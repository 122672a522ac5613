"""Tests which configuration is in force while values are read in steps."""

import asyncio

from anvilwell_decisions.traffic import facts
from anvilwell_gateway import configuration
from anvilwell_kernel import exceptions
from anvilwell_outside.ports import keyvalue
import pytest

KEY = "configuration"
FAULTY = -2
LIMITS = facts.CallerLimits(1, 1, 1.0, 1.0)


class _Codec:
    """Fake codec: reads ``b"<version> <steps>"`` in that number of steps."""

    configuration_key = KEY

    def configuration_steps(self, value):
        version, steps = map(int, value.split())
        for _ in range(steps - 1):
            yield None
        if version == FAULTY:
            raise TypeError("a fault of the codec")
        if version < 0:
            raise exceptions.ConfigurationError([])
        yield facts.Configuration(version, (), {}, LIMITS)


class _Store:
    answered_at = float("-inf")

    def listen_regained(self, callback):
        """Ignore the callback."""


def _changed(follower, value, revision):
    follower.change(keyvalue.Change(KEY, value, revision))


@pytest.mark.parametrize(
    ("values", "at_once", "then"),
    [
        ([b"7 1"], 7, 7),
        ([b"7 5"], None, 7),
        # A newer value need not wait if it is read in one step.
        ([b"7 5", b"8 1"], 8, 8),
        # An unreadable value does not end the reading of an older one.
        ([b"7 5", b"-1 1"], None, 7),
        ([b"7 5", b"8 3", b"-1 1"], None, 8),
        # Nor does a fault in reading one end the reading of others.
        ([b"-2 3", b"8 3"], None, 8),
        ([b"7 1", b"8 5"], 7, 8),
        ([b"7 1", b"8 3", b"9 5"], 7, 9),
        # An unreadable value leaves the current version in force.
        ([b"7 1", b"-1 3"], 7, 7),
        ([b"8 1", b"7 4"], 8, 8),
    ],
)
def test_the_newest_that_can_be_read_is_in_force(values, at_once, then):
    async def run():
        follower = configuration.ConfigurationFollower(_Store(), _Codec())
        for revision, value in enumerate(values, 1):
            _changed(follower, value, revision)
        first = follower.current
        for _ in range(8):
            await asyncio.sleep(0)
        return first and first.version, follower.current.version

    assert asyncio.run(run()) == (at_once, then)


def test_other_work_is_done_between_the_steps():
    async def run():
        follower = configuration.ConfigurationFollower(_Store(), _Codec())
        _changed(follower, b"7 9", 1)
        turns = 0
        while follower.current is None:
            turns += 1
            await asyncio.sleep(0)
        return turns

    assert asyncio.run(run()) >= 8


def test_a_series_of_values_does_not_keep_all_of_them_out_of_force():
    """Guards against an old configuration until a series of them ends.

    Each newer value cancelled the reading of the one before.
    """

    async def run():
        follower = configuration.ConfigurationFollower(_Store(), _Codec())
        _changed(follower, b"1 1", 1)
        for version in range(2, 40):
            _changed(follower, b"%d 8" % version, version)
            for _ in range(4):
                await asyncio.sleep(0)
        return follower.current.version

    # The reading of a value lasts as long as two values take to arrive.
    assert asyncio.run(run()) >= 35
