"""The table of metrics, found in the sources."""

import ast
import importlib
import pathlib
import typing

from anvilwell_daemon.reference import markdown

_PACKAGES = (
    "anvilwell_kernel",
    "anvilwell_decisions",
    "anvilwell_outside",
    "anvilwell_daemon",
)
_KINDS_BY_METHOD = {
    "create_counter": "counter",
    "create_up_down_counter": "gauge",
    "create_gauge": "gauge",
    "create_histogram": "histogram",
    "create_observable_gauge": "gauge",
    "create_observable_counter": "counter",
    "create_observable_up_down_counter": "gauge",
}


class Metric(typing.NamedTuple):
    """A metric as the code creates it."""

    name: str
    kind: str
    unit: str
    about: str


def find():
    """Return every `Metric` that the daemon's code creates, by name."""
    found = {
        metric for path in _sources() for metric in _metrics(path.read_text())
    }
    return sorted(found)


def lines():
    """Return the lines of the table."""
    rows = [
        (f"`{metric.name}`", metric.kind, metric.unit, metric.about)
        for metric in find()
    ]
    return markdown.table(("name", "kind", "unit", "what it counts"), rows)


def _sources():
    for name in _PACKAGES:
        root = pathlib.Path(importlib.import_module(name).__file__).parent
        yield from sorted(root.rglob("*.py"))


def _metrics(source):
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
            kind = _KINDS_BY_METHOD.get(node.func.attr)
            if kind and node.args:
                yield _metric(node, kind)


def _metric(call, kind):
    options = {
        keyword.arg: ast.literal_eval(keyword.value)
        for keyword in call.keywords
        if keyword.arg in ("unit", "description")
    }
    return Metric(
        ast.literal_eval(call.args[0]),
        kind,
        options.get("unit", ""),
        options.get("description", ""),
    )
