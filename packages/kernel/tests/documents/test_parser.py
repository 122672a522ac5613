"""Parsing a service document reports all of its problems at once."""

import pytest

from anvilwell_kernel import documents
from anvilwell_kernel import exceptions

VALID_DOCUMENT = """\
[service]
name = planner-lm
schema = 1
kind = model               ; model or plain
[model]
name = planner
version = 7                ; desired weight version
staleness_bound = 2        ; versions
live_floor = 0.5
preference = 0.0
[traffic]
live_reserve = 0.2
max_queue = 64
deadline_s = 30
retry_budget = 0.1
[trainers]
autumn = 1.0
[teams]
parents = 200
"""
INVALID_DOCUMENTS = {
    "empty": "",
    "no-section": "name = x\n",
    "many": (
        "[service]\nname = a b\nkind = plan\nschema = 2\nknd = 3\n"
        "[modle]\n[model]\nlive_floor = nan\n[teams]\na = -1\nb = x\n"
        "[calls]\nnon_idempotent = FOO /x, POST y\n[calls]\n"
    ),
    "plain-with-model": (
        "[service]\nname = a\nkind = plain\n[model]\nname = a\n"
        "version = 7\nstaleness_bound = 1\n[trainers]\nt = 1\n"
    ),
    "model-without-model": "[service]\nname = a\nkind = model\n",
    "newer-schema": "[service]\nname = a\nkind = plain\nschema = 2\n",
    "nothing-left": (
        "[service]\nname = a\nkind = model\n[model]\nname = a\nversion = 1\n"
        "staleness_bound = 1\nlive_floor = 1\n[traffic]\nlive_reserve = 1\n"
        "[trainers]\nt = 1\n[calls]\nnon_idempotent = POST /x\n"
    ),
    "not-a-line": "[service]\nname = a\nkind = plain\nblah\n",
    "default-section": "[DEFAULT]\nname = a\n[service]\nkind = plain\n",
}


def test_parse_whole_document():
    parsed = documents.parse(VALID_DOCUMENT, "planner-lm.ini")

    assert parsed.service.name == "planner-lm"
    assert parsed.model.version == "7"
    assert parsed.trainers == {"autumn": 1.0}
    assert parsed.teams == {"parents": 200.0}


def test_render_gives_the_same_document_back():
    parsed = documents.parse(VALID_DOCUMENT, "planner-lm.ini")

    assert documents.parse(documents.render(parsed), "again") == parsed


@pytest.mark.parametrize("name", INVALID_DOCUMENTS)
def test_parse_reports_all_problems(name, snapshot):
    with pytest.raises(exceptions.ConfigurationError) as caught:
        documents.parse(INVALID_DOCUMENTS[name], "bad.ini")

    assert str(caught.value) == snapshot


def test_text_above_the_size_limit_is_refused():
    with pytest.raises(exceptions.ConfigurationError, match="longer than"):
        documents.parse("; " + "x" * (1 << 20), "long.ini")


def test_digest_differs_for_differing_texts():
    assert documents.digest(VALID_DOCUMENT) != documents.digest(
        VALID_DOCUMENT + "\n"
    )


@pytest.mark.parametrize("version", ["v7", "1.5", "-1", "007", "9" * 19])
def test_version_that_is_not_a_plain_decimal_is_rejected(version):
    text = VALID_DOCUMENT.replace("version = 7 ", f"version = {version} ")

    with pytest.raises(exceptions.ConfigurationError) as refused:
        documents.parse(text, "planner-lm.ini")

    assert "[model] version" in refused.value.message
    assert "give the version's number, such as 7" in refused.value.message
