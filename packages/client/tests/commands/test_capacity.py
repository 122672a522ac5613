import json
import os

from anvilwell_client import commands
from anvilwell_kernel import commandline


def _run(*words):
    argv = ["anvilwell", "capacity", *words]
    return commandline.execute(commands.PROGRAM, argv)


def _rows(capsys, *words):
    assert _run("--output=json", *words) == os.EX_OK
    found = json.loads(capsys.readouterr().out)
    return {(row["role"], row["what"], row["unit"]): row for row in found}


def test_rows_follow_the_flags(capsys):
    row = _rows(capsys, "--entries=3", "--requests=60")[
        "entry", "requests", "requests/s"
    ]

    assert row["value"] == 20


def test_small_fleet_in_one_region(capsys):
    flags = ("--replicas=9", "--entries=3", "--regions=1", "--services=2")

    assert _rows(capsys, *flags)


def test_text_ends_with_the_failing_rows(capsys):
    assert _run() == os.EX_OK
    text = capsys.readouterr().out

    assert "rows do not hold" in text
    assert "all writes, claims 1.0%" in text


def test_no_replicas_is_an_error(capsys):
    assert _run("--replicas=0") == os.EX_USAGE
    assert "replicas" in capsys.readouterr().err
