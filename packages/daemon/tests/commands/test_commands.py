"""The commands of ``anvilwelld``: output and exit codes."""

import os

import pytest

from anvilwell_daemon import commands
from anvilwell_daemon import process
from anvilwell_kernel import commandline
from anvilwell_kernel.telemetry import logs

GOOD = (
    "[daemon]\nvm_id = a\nrole = agent\nfailure_domain = f\n"
    "[agent]\nlisten = 127.0.0.1:1\nservice = s\nbackend = 127.0.0.1:2\n"
    "backend_kind = plain\n[keyvalue]\nendpoints = 127.0.0.1:3\n"
)


def execute(*words):
    return commandline.execute(commands.PROGRAM, ["anvilwelld", *words])


def test_check_settings_finds_no_problem(tmp_path, capsys):
    path = tmp_path / "agent.ini"
    path.write_text(GOOD)

    assert execute("check-settings", f"--settings={path}") == os.EX_OK
    assert "role agent, no problems" in capsys.readouterr().out


def test_check_settings_reports_every_problem(tmp_path, capsys):
    path = tmp_path / "agent.ini"
    path.write_text(GOOD.replace("listen", "lisen") + "timeout = 1\n")

    assert execute("check-settings", "--settings", str(path)) == os.EX_CONFIG
    lines = capsys.readouterr().err.splitlines()
    assert [line.rpartition(";")[2].strip() for line in lines] == [
        "did you mean 'timeout_s'?",
        "add listen = ... (give an IP address and a port, such as "
        "10.0.0.7:7300)",
        "did you mean 'listen'?",
    ]


def test_run_refuses_bad_settings(tmp_path, capsys):
    path = tmp_path / "absent.ini"

    assert execute("run", f"--settings={path}") == os.EX_CONFIG
    assert "can't be read" in capsys.readouterr().err


def test_run_without_a_place_for_the_log(tmp_path, monkeypatch, capsys):
    monkeypatch.setattr(logs, "capture_libraries", lambda: None)
    path = tmp_path / "agent.ini"
    path.write_text(f"{GOOD}[log]\nfile = {tmp_path / 'no' / 'log'}\n")

    assert execute("run", f"--settings={path}") == os.EX_CONFIG
    assert "[log] file: can't be written" in capsys.readouterr().err


def test_run_writes_the_log_without_secrets(tmp_path, monkeypatch):
    def fake_run(settings):
        logs.get_logger(__name__).log("settings", settings=settings)
        logs.get_logger(__name__).log("text", text=repr(settings))
        return os.EX_TEMPFAIL

    monkeypatch.setattr(process, "run", fake_run)
    monkeypatch.setattr(logs, "capture_libraries", lambda: None)
    log = tmp_path / "log.json"
    path = tmp_path / "entry.ini"
    path.write_text(
        "[daemon]\nvm_id = e\nrole = entry\nfailure_domain = f\n"
        "[entry]\nlisten = 127.0.0.1:1\nadmin = 127.0.0.1:2\n"
        "operator_token = opensesame-of-run\n[peers]\nlisten = 127.0.0.1:3\n"
        f"[keyvalue]\nendpoints = 127.0.0.1:4\n[log]\nfile = {log}\n"
    )

    assert execute("run", f"--settings={path}") == os.EX_TEMPFAIL
    assert '"vm_id":"e"' in log.read_text().splitlines()[-1]
    assert "operator_token" in log.read_text()
    assert "opensesame-of-run" not in log.read_text()


def test_version(capsys):
    assert execute("version") == os.EX_OK
    assert capsys.readouterr().out.startswith("anvilwelld ")


@pytest.mark.parametrize(
    "words",
    [
        (),
        ("frobnicate",),
        ("run",),
        ("version", "extra"),
        ("version", "--bogus"),
    ],
)
def test_wrong_command_line(words, capsys):
    assert execute(*words) == os.EX_USAGE
    assert capsys.readouterr().err


def test_usage_lists_commands_and_flags():
    text = commandline.usage(commands.PROGRAM)

    assert "check-settings" in text
    assert "--settings" in text
