"""What a recurring act is, and the meters that measure it."""

import abc
import gc
import statistics
import time
import tracemalloc

import cbor2

MICROSECONDS = 1e6
ROUNDS = 5
REFERENCE_STEPS = 100
REFERENCE_REPEATS = 10
# Least of 3,000 runs of the reference on the machine of the first data.
REFERENCE_US = 192.0


class Act(abc.ABC):
    """A recurring act whose cost is measured at several sizes.

    Class attributes name it; ``measure`` returns one value in ``unit``.
    """

    name = ""
    act = ""
    grows_with = ""
    unit = ""
    sizes = ()

    @abc.abstractmethod
    def measure(self, size):
        """Return the cost at `size`, in the act's unit."""


def cpu_us(function, repeats):
    """Return CPU microseconds for one call of `function`.

    Neighbours on the machine slow every instruction down, so each round
    is set in proportion to a fixed piece of work done around it. The
    median proportion times `REFERENCE_US` is the result: microseconds
    of a core that does that work in just this time.
    """
    ratios = [_ratio(function, repeats) for _ in range(ROUNDS)]
    return statistics.median(ratios) * REFERENCE_US


def retained_bytes(build):
    """Return the bytes that the result of `build` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def _ratio(function, repeats):
    before_us = _reference_us()
    spent_us = _cpu_us(function, repeats) / repeats
    return 2 * spent_us / (before_us + _reference_us())


def _reference_us():
    return _cpu_us(_reference, REFERENCE_REPEATS) / REFERENCE_REPEATS


def _reference():
    """Do some work like that of the acts: calls, dicts and bytes."""
    counts_by_size = {}
    for number in range(REFERENCE_STEPS):
        frame = cbor2.dumps([number, "reference", b"x" * 32])
        size = len(cbor2.loads(frame))
        counts_by_size[size] = counts_by_size.get(size, 0) + number


def _cpu_us(function, repeats):
    gc.disable()
    started = time.process_time()
    for _ in range(repeats):
        function()
    spent = time.process_time() - started
    gc.enable()
    return spent * MICROSECONDS
