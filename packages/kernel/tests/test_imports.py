"""Rules on which packages may import each other."""

import ast
import pathlib

import pytest

PACKAGES = pathlib.Path(__file__).parents[2]
ALLOWED = {
    "kernel": set(),
    "decisions": {"kernel"},
    "outside": {"kernel"},
    "daemon": {"kernel", "decisions", "outside"},
    "gateway": {"kernel", "decisions", "outside"},
    "client": {"kernel", "decisions"},
    "standins": {"kernel"},
    "bench": {"kernel", "decisions", "outside", "daemon", "standins"},
}
IMPURE = {"asyncio", "socket", "threading", "time", "urllib3", "websockets"}


def _imports(path):
    tree = ast.parse(path.read_text())
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module


def _modules(package):
    return (PACKAGES / package / f"anvilwell_{package}").rglob("*.py")


@pytest.mark.parametrize("package", sorted(ALLOWED))
def test_imports_only_allowed_packages(package):
    allowed = {f"anvilwell_{name}" for name in ALLOWED[package] | {package}}
    found = {
        name.partition(".")[0]
        for path in _modules(package)
        for name in _imports(path)
        if name.startswith("anvilwell_")
    }
    assert found <= allowed


def test_decisions_do_no_input_or_output():
    found = {
        f"{path.name}: {name}"
        for path in _modules("decisions")
        for name in _imports(path)
        if name.partition(".")[0] in IMPURE
    }
    assert not found
