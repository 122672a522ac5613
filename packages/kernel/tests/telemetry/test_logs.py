"""Tests of the log: JSON lines, trees across processes, no secrets."""

import json
import logging
import typing

import pytest

from anvilwell_kernel.config import loader
from anvilwell_kernel.config import options
from anvilwell_kernel import exceptions
from anvilwell_kernel.telemetry import logs

_LOG = logs.get_logger(__name__)


class Section(typing.NamedTuple):
    token: options.Secret
    limit: int = 1


class Settings(typing.NamedTuple):
    store: Section


@pytest.fixture
def lines(tmp_path):
    path = tmp_path / "log.json"
    stop = logs.start(path, vm_id="vm-1")
    # eliot buffers messages that were logged before the first destination was
    # added, and writes them to it; they are skipped here.
    earlier = len(path.read_text().splitlines())
    yield lambda: [
        json.loads(line) for line in path.read_text().splitlines()[earlier:]
    ]
    stop()


def test_messages_are_json_lines_with_the_vm(lines):
    _LOG.log("started", port=7)

    (message,) = lines()
    assert message["message_type"].endswith(":started")
    assert message["port"] == 7
    assert message["vm_id"] == "vm-1"


def test_another_process_continues_the_tree(lines):
    with _LOG.action("request"):
        task_id = logs.current_task_id()
    with _LOG.resume(task_id, "attempt"):
        _LOG.log("forwarded")

    assert len({message["task_uuid"] for message in lines()}) == 1


def test_warnings_of_libraries_reach_the_log(lines, monkeypatch):
    root = logging.getLogger()
    monkeypatch.setattr(root, "handlers", list(root.handlers))
    monkeypatch.setattr(root, "level", root.level)
    logs.capture_libraries()

    logging.getLogger("some.library").info("chatter")
    logging.getLogger("some.library").warning("look here")

    (message,) = lines()
    assert message["message"] == "look here"


def test_secret_never_reaches_the_log(lines):
    settings = loader.loads("[store]\ntoken = hunter2\n", Settings, "s.ini")
    _LOG.log("settings", settings=settings, token=settings.store.token)
    with pytest.raises(exceptions.ConfigurationError) as caught:
        loader.loads("[store]\ntoken = \nlimit = x\n", Settings, "s.ini")
    _LOG.log("refused", error=str(caught.value))

    assert len(lines()) == 2
    assert "hunter2" not in json.dumps(lines())


def test_resuming_without_a_task_id_starts_a_task(lines):
    with _LOG.resume("", "served"):
        _LOG.log("inside")
    assert len({line["task_uuid"] for line in lines()}) == 1
