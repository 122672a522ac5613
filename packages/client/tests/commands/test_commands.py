"""Output, exit codes and advice of the other commands."""

import json
import os

import pytest


@pytest.mark.parametrize(
    "words",
    [
        ("status",),
        ("drain", "vm-7"),
        ("versions", "planner-lm"),
        ("explain", "r1"),
        ("show", "stops-app"),
        ("history", "stops-app"),
    ],
)
@pytest.mark.parametrize("output", ["text", "json"])
def test_output(words, output, entry, run, capsys, snapshot):
    entry.store.put("change-1", "[service]\nname = stops-app\nkind = plain\n")

    assert run(*words, entry.flag, f"--output={output}") == os.EX_OK
    text = capsys.readouterr().out
    assert text == snapshot
    assert output == "text" or json.loads(text)


def test_diff(entry, run, document, capsys):
    assert run("diff", document, entry.flag) == 1
    assert "+name = stops-app" in capsys.readouterr().out

    run("apply", document, entry.flag)
    assert run("diff", document, entry.flag) == os.EX_OK


def test_explain_tries_every_entry_and_prints_the_last_error(
    start_entry, run, capsys
):
    first, second = start_entry(), start_entry()

    assert run("explain", "r2", first.flag, second.flag) != os.EX_OK
    host, port = second.server.address
    assert f"entry {host}:{port}: no request r2" in capsys.readouterr().err


def test_unreachable_entry(entry, run, capsys):
    entry.server.close()

    assert run("status", entry.flag) == os.EX_UNAVAILABLE
    assert "check --entry" in capsys.readouterr().err


def test_malformed_entry_address(entry, run, capsys):
    entry.server.route("/admin/drain/x", lambda request: None, ("GET",))

    assert run("drain", "x", entry.flag.replace("127", "x")) == os.EX_DATAERR
    assert "--entry ip:port" in capsys.readouterr().err


def test_token(entry, run, tmp_path, capsys):
    entry.token = "hunter2"
    path = tmp_path / "token"
    path.write_text("hunter2\n")

    assert run("status", entry.flag) == os.EX_NOPERM
    assert run("status", entry.flag, f"--token_file={path}") == os.EX_OK
    assert "hunter2" not in "".join(capsys.readouterr())


@pytest.mark.parametrize("words", [(), ("apply",), ("status", "--output=x")])
def test_wrong_command_line(words, run):
    assert run(*words) == os.EX_USAGE
