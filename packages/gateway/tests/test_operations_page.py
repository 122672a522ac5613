"""Tests that the operators' page lists each event, reason and metric."""

import ast
import gc
import pathlib
import re

from anvilwell_gateway import measures
from anvilwell_kernel import exceptions
from anvilwell_kernel import reasons
import pytest

ROOT = pathlib.Path(__file__).parents[3]
PACKAGE = ROOT / "packages" / "gateway" / "anvilwell_gateway"
ADAPTERS = ROOT / "platform" / "anvilwell_platform"
PAGE = ROOT / "docs" / "OPERATIONS.md"


def _logged_events():
    # A connection of another test that is collected while a source is parsed
    # prints a warning, for which Python parses too, and then fails here.
    gc.collect()
    for path in [*PACKAGE.rglob("*.py"), *ADAPTERS.rglob("*.py")]:
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = ast.unparse(node.func)
            if name in ("_LOG.log", "_LOG.routine", "write"):
                yield ast.literal_eval(node.args[0])


def _rows(title):
    """Return the first cells of the table below a heading."""
    _, _, rest = PAGE.read_text().partition(f"## {title}\n")
    section, _, _ = rest.partition("\n## ")
    return sorted(re.findall(r"^\| `([a-z_-]+)` \|", section, re.MULTILINE))


def _used_members(enumeration):
    """Return the members of an enumeration that the gateway uses.

    This includes the default reasons of the exceptions that it raises.
    """
    sources = [path.read_text() for path in PACKAGE.rglob("*.py")]
    text = "\n".join(sources)
    found = set(re.findall(rf"reasons\.{enumeration}\.([A-Z_]+)", text))
    raised = set(re.findall(r"exceptions\.([A-Z][A-Za-z]+)", text))
    members = getattr(reasons, enumeration)
    if members is reasons.Refusal:
        classes = (getattr(exceptions, name) for name in raised)
        found |= {one.reason.name for one in classes}
    return sorted(str(members[name]) for name in found)


def test_the_table_of_events_is_complete():
    assert _rows("Events") == sorted(set(_logged_events()))


@pytest.mark.parametrize(
    ("title", "enumeration"),
    [
        ("Reasons of refusals", "Refusal"),
        ("Reasons of retries", "Retry"),
        ("Reasons of new connections", "NewConnection"),
    ],
)
def test_the_tables_of_reasons_are_complete(title, enumeration):
    assert _rows(title) == _used_members(enumeration)


def test_the_table_of_metrics_is_complete():
    named = re.findall(
        r'"(anvilwell_[a-z_]+)"', (PACKAGE / "measures.py").read_text()
    )
    gauges = [f"anvilwell_{name}" for name in measures.GAUGES_BY_NAME]
    counters = [
        f"anvilwell_{name}_total"
        for name in (
            "new_connections",
            "other_responses",
            "refusals",
            "retries",
            "unreadable_entries",
        )
    ]
    assert _rows("Metrics") == sorted([*named, *gauges, *counters])
