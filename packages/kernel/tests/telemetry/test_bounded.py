"""The log never blocks, and it drops routine lines before others."""

import json
import os

from anvilwell_kernel.telemetry import bounded
import pytest


class _Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _read(reader):
    data = b""
    while True:
        try:
            part = os.read(reader, 1 << 16)
        except BlockingIOError:
            return [json.loads(line) for line in data.splitlines()]
        data += part


def test_messages_are_json_lines(pipe):
    reader, writer = pipe
    destination = bounded.BoundedDestination(writer)

    destination({"message_type": "m:a", "n": 1, bounded.ROUTINE: True})
    destination({"message_type": "m:b", "n": {1}})

    first, second = _read(reader)
    assert first == {"message_type": "m:a", "n": 1}
    assert second["message_type"] == "m:b"


def test_slow_reader_does_not_block_the_writer(pipe):
    reader, writer = pipe
    destination = bounded.BoundedDestination(writer)
    line = {"message_type": "m:a", "text": "x" * 1000}

    for number in range(3000):
        destination(line | {"n": number})
    kept = []
    while received := _read_some(reader, destination):
        kept += received

    assert 1000 < len(kept) < 3000
    assert [one["n"] for one in kept] == list(range(len(kept)))


def _read_some(reader, destination):
    received = _read(reader)
    destination.flush()
    return received


def test_routine_lines_are_dropped_before_others(pipe):
    reader, writer = pipe
    clock = _Clock()
    destination = bounded.BoundedDestination(writer, clock)
    line = {"message_type": "m:a", "text": "x" * 4000}

    for _ in range(400):
        clock.now += 1.0
        destination(line | {bounded.ROUTINE: True})
    destination({"message_type": "m:failure"})
    received = []
    while some := _read_some(reader, destination):
        received += some

    assert received[-1]["message_type"] == "m:failure"


def test_routine_lines_above_the_rate_are_dropped_and_counted(pipe):
    reader, writer = pipe
    clock = _Clock()
    destination = bounded.BoundedDestination(writer, clock)

    for _ in range(bounded.ROUTINE_BURST + 50):
        destination({"message_type": "m:a", bounded.ROUTINE: True})
    clock.now = 2.0
    destination({"message_type": "m:failure"})

    lines = _read(reader)
    assert len(lines) == bounded.ROUTINE_BURST + 2
    assert lines[-2]["lines"] == 50
