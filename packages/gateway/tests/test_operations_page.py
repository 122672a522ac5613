"""Every event that is logged has its row on the operators' page."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parents[3]
PACKAGE = ROOT / "packages" / "gateway" / "anvilwell_gateway"
PAGE = ROOT / "docs" / "OPERATIONS.md"


def _logged():
    for path in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            name = ast.unparse(node.func)
            if name in ("_LOG.log", "_LOG.routine", "write"):
                yield ast.literal_eval(node.args[0])


def test_each_event_has_its_row_and_each_row_its_event():
    rows = re.findall(r"^\| `([a-z-]+)` \|", PAGE.read_text(), re.MULTILINE)

    assert sorted(rows) == sorted(set(_logged()))
