"""A log destination gets no line that was logged before it was there.

A test failed once: among the lines that it had caught was one of another
test that had run before it in the same process. eliot keeps what is logged
before the first destination is added and hands it to that one. Which test
adds the first depends on how tests are spread over processes, so the
settings that all tests share add and remove one at the start. Without that
this module fails when it is run alone.
"""

import eliot

from anvilwell_kernel.telemetry import logs

_LOG = logs.get_logger(__name__)


def test_a_new_destination_gets_only_later_lines():
    _LOG.log("earlier")
    lines = []
    eliot.add_destinations(lines.append)
    try:
        _LOG.log("later")
    finally:
        eliot.remove_destination(lines.append)

    assert [line["message_type"].split(":")[-1] for line in lines] == ["later"]
