"""The documentation lists what the code has."""

import pathlib
import re

import pytest

from anvilwell_daemon.reference import metrics
from anvilwell_daemon.reference import pages
from anvilwell_kernel import reasons
from anvilwell_kernel.telemetry import counters
from anvilwell_kernel.telemetry import provider

DOCS = pathlib.Path(__file__).parents[4] / "docs"


@pytest.mark.parametrize("name", pages.PAGES)
def test_tables_are_current(name):
    text = (DOCS / name).read_text()

    assert pages.refresh(name, text) == text, "run: make docs"


def test_page_without_a_place_for_the_table_is_refused():
    with pytest.raises(ValueError, match="0 places"):
        pages.refresh("user-guide/metrics.md", "no place")


def test_links_lead_somewhere():
    links = [
        (page, target)
        for page in [*DOCS.rglob("*.md"), DOCS.parent / "README.md"]
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text())
    ]

    assert links
    assert not [
        f"{page.name}: {target}"
        for page, target in links
        if not (page.parent / target).exists()
    ]


@pytest.mark.parametrize("kind", [reasons.Refusal, reasons.Retry])
def test_every_reason_is_explained(kind):
    heading = {
        reasons.Refusal: "## Reasons of refusals",
        reasons.Retry: "## Reasons of retries",
    }[kind]
    text = (DOCS / "user-guide/errors.md").read_text()
    part = text.split(heading)[1].split("\n## ")[0]
    listed = {
        line.split("`")[1] for line in part.splitlines() if "| `" in line
    }

    assert listed == {str(reason) for reason in kind}


def test_every_metric_has_a_unit_and_a_description():
    assert not [
        metric
        for metric in metrics.find()
        if not (metric.unit and metric.about)
    ]


def test_every_metric_on_the_page_is_listed():
    # The provider is the process's: after tests of the gateway the page
    # has its metrics too, which the operators' page lists.
    provider.start()
    counters.record_response("GET /x", 200, 0.001)
    operations = (DOCS / "OPERATIONS.md").read_text()
    names = (
        *(metric.name for metric in metrics.find()),
        *re.findall(r"^\| `(anvilwell_[a-z_]+)` \|", operations, re.MULTILINE),
    )
    heads = [
        line.split()[2]
        for line in provider.page().decode().splitlines()
        if line.startswith("# TYPE anvilwell_")
    ]

    assert heads
    assert not [head for head in heads if not head.startswith(names)]
