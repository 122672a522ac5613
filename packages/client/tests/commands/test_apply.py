"""``apply`` reports the right outcome, even if responses are lost."""

import os

import pytest

from anvilwell_client import change as changes


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch):
    monkeypatch.setattr(changes, "PAUSES_S", (0.0, 0.0, 0.0))


def test_in_force(entry, run, document, capsys):
    code = run("apply", document, entry.flag, "--operator=bor")

    assert code == os.EX_OK
    assert entry.store.changes[0]["operator"] == "bor"
    assert capsys.readouterr().out == "in force everywhere, generation 1\n"


def test_lost_response_is_resolved_from_the_history(
    entry, run, document, capsys
):
    entry.script = ["lose after"]

    assert run("apply", document, entry.flag) == os.EX_OK
    assert capsys.readouterr().out == "in force everywhere, generation 1\n"
    assert len(entry.puts) == 1


def test_lost_request_is_repeated_under_its_id(entry, run, document, capsys):
    entry.script = ["lose before"]

    assert run("apply", document, entry.flag) == os.EX_OK
    assert len(entry.puts) == 2
    assert len(set(entry.puts)) == 1
    assert len(entry.store.changes) == 1


def test_unknown_after_all_attempts(entry, run, document, capsys):
    entry.script = ["unknown"] * len(changes.PAUSES_S)

    assert run("apply", document, entry.flag) == os.EX_TEMPFAIL
    out, err = capsys.readouterr()
    assert out.startswith("unknown")
    assert f"--change_id={entry.puts[0]}" in err
    assert "--expected_generation=0" in err


def test_unknown_change_is_resolved_by_its_id(entry, run, document):
    entry.store.put("mine", "text")

    code = run(
        "apply",
        document,
        entry.flag,
        "--change_id=mine",
        "--expected_generation=0",
    )

    assert code == os.EX_OK
    assert len(entry.store.changes) == 1


def test_overtaken_change_is_refused(entry, run, document, capsys):
    entry.store.put("other", "text")

    code = run("apply", document, entry.flag, "--expected_generation=0")

    assert code == os.EX_UNAVAILABLE
    out, err = capsys.readouterr()
    assert out == "not in force anywhere, generation 1 stays\n"
    assert "refused: conflict" in err
    assert "anvilwell diff" in err


def test_lost_then_overtaken_change_is_refused(entry, run, document, capsys):
    entry.script = ["lose before"]
    entry.store.put("other", "text")

    code = run("apply", document, entry.flag, "--expected_generation=0")

    assert code == os.EX_UNAVAILABLE
    assert capsys.readouterr().out.startswith("not in force anywhere")


def test_missing_members_are_named(entry, run, document, capsys):
    entry.script = ["members missing"]

    assert run("apply", document, entry.flag) == os.EX_UNAVAILABLE
    out, err = capsys.readouterr()
    assert out == "not in force anywhere, generation 0 stays\n"
    assert "no answer from agent-3" in err
    assert "apply again when the daemons answer" in err


def test_second_entry_is_tried(start_entry, run, document):
    first, second = start_entry(), start_entry()
    first.script = ["refuse"]

    assert run("apply", document, first.flag, second.flag) == os.EX_OK
    assert len(second.puts) == 1


def test_refused_by_all_entries(entry, run, document, capsys):
    entry.script = ["refuse"]

    assert run("apply", document, entry.flag) == os.EX_UNAVAILABLE
    assert "key-value" in capsys.readouterr().err


def test_malformed_document_is_not_sent(entry, run, document, capsys):
    with open(document, "a") as file:
        file.write("knd = x\n[modle]\n")

    assert run("apply", document, entry.flag) == os.EX_CONFIG
    assert len(capsys.readouterr().err.splitlines()) == 2
    assert not entry.puts


def test_unreadable_file(entry, run, capsys):
    assert run("apply", "/nonexistent", entry.flag) == os.EX_DATAERR
    assert "can't read" in capsys.readouterr().err
