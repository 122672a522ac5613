"""`set_version` changes the version and no other part of the text."""

import hypothesis
from hypothesis import strategies
import pytest

from anvilwell_kernel import documents
from anvilwell_kernel import exceptions

DOCUMENT = """\
# Owned by the planner team; version 8 was bad.

[service]
kind=model      ; not plain
name   =  planner-lm

[traffic]
\tmax_queue = 8
; version = 8 once
[model]
  version   =   8      ; asked for by version 8 of the trainer
staleness_bound = 8
name = planner
# version = 8


[teams]
version = 8
# the end, without a newline"""
EXTRA_LINES = strategies.lists(
    strategies.sampled_from(
        ("", "# version = 8", "; x", " ; y = 8", "\t", "live_floor = 0.5")
    ),
    max_size=4,
    unique=True,
)


def test_only_the_version_changes(snapshot):
    edited = documents.set_version(DOCUMENT, "12", "planner-lm")
    assert edited == snapshot
    changed = [
        pair
        for pair in zip(DOCUMENT.split("\n"), edited.split("\n"), strict=True)
        if pair[0] != pair[1]
    ]
    assert [old.replace("8", "12", 1) for old, _ in changed] == [
        new for _, new in changed
    ]
    assert len(changed) == 1


@pytest.mark.parametrize("newline", ["\n", "\r\n"])
def test_setting_a_version_and_restoring_it_gives_the_same_text(newline):
    text = DOCUMENT.replace("\n", newline)
    there = documents.set_version(text, "123", "planner-lm")
    assert documents.set_version(there, "8", "planner-lm") == text


@hypothesis.given(EXTRA_LINES, EXTRA_LINES, strategies.integers(1, 10**17))
def test_any_layout_is_preserved(above, below, version):
    lines = ["[service]", "name = a", "kind = model", "[model]", "name = m"]
    middle = ["staleness_bound = 8", *above]
    below = [one for one in below if one not in above]
    head = "\n".join([*lines, *middle, "version = "])
    tail = "\n".join([" ; 8", *below])
    edited = documents.set_version(f"{head}8{tail}", str(version), "a")
    assert edited == f"{head}{version}{tail}"


def test_version_on_a_separate_line_is_invalid():
    text = DOCUMENT.replace("=   8 ", "= ; 8\n    8 ")
    with pytest.raises(exceptions.ConfigurationError, match="version"):
        documents.set_version(text, "9", "planner-lm")


def test_plain_service_has_no_version():
    with pytest.raises(exceptions.Conflict, match="no model"):
        documents.set_version("[service]\nname = a\nkind = plain\n", "9", "a")
