"""Tests that a version is doubtful if its tag may be late."""

import pytest

from anvilwell_decisions.samples import versions
from anvilwell_kernel import exceptions

LAG_S = 1.0


def follow(*pieces):
    stream = versions.StreamVersions(LAG_S)
    for at, version in pieces:
        stream.piece(versions.TokenRun(version, 2, "x"), at)
    return stream


def test_pieces_of_one_version_are_one_run():
    stream = follow((0.0, "7"), (0.1, "7"))
    assert stream.runs == (versions.TokenRun("7", 4, "xx"),)
    stream.settle("7")
    assert not stream.is_doubtful


def test_a_swap_in_the_middle_names_both():
    stream = follow((0.0, "7"), (2.0, "7"), (2.1, "8"))
    assert [run.version for run in stream.runs] == ["7", "8"]
    assert not stream.is_doubtful


def test_a_first_piece_named_late_is_in_doubt():
    assert follow((0.0, "7"), (0.5, "8")).is_doubtful


def test_an_end_soon_after_a_swap_is_in_doubt():
    stream = follow((0.0, "7"), (5.0, "7"))
    stream.settle("8")
    assert stream.is_doubtful


@pytest.mark.parametrize(
    "text", ["", "v7", "-1", "٣", "007", "9" * 19, "9" * 5000]
)
def test_a_version_that_is_no_number_is_refused(text):
    with pytest.raises(exceptions.BadRequest):
        versions.ordinal(text)
