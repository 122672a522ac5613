"""The design page lists the verdict table exactly as in the code."""

import pathlib

from anvilwell_decisions.requests import verdicts

PAGE = pathlib.Path(__file__).parents[4] / "docs/design/requests.md"


def test_page_lists_exactly_the_rows_of_the_table():
    rows = [
        f"| {row.hop} | {row.event} | `{row.verdict}` |"
        f" {row.reason or '-'} | {row.why} |"
        for row in verdicts.TABLE
    ]
    part = PAGE.read_text().split("| where | event |")[1].split("\n## ")[0]
    listed = [line for line in part.splitlines()[2:] if line]
    assert listed == rows
