"""A log destination receives no line that was logged before it was added.

Guards against a test that captures log lines of an earlier test in the same
process. eliot buffers what is logged before the first destination is added
and passes it to that destination. Which test adds the first one depends on
how the tests are distributed over processes, so the shared conftest adds
and removes a destination at the start. Without this, the module fails when
it is run alone.
"""

import eliot

from anvilwell_kernel.telemetry import logs

_LOG = logs.get_logger(__name__)


def test_new_destination_receives_only_later_lines():
    _LOG.log("earlier")
    lines = []
    eliot.add_destinations(lines.append)
    try:
        _LOG.log("later")
    finally:
        eliot.remove_destination(lines.append)

    assert [line["message_type"].split(":")[-1] for line in lines] == ["later"]
