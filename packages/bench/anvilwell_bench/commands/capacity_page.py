"""``capacity_page``: writes the capacity page from the committed slopes."""

import os
import pathlib

from anvilwell_bench.slopes import page
from anvilwell_decisions.capacity import data

PAGE = pathlib.Path("docs/design/capacity-of-the-daemon.md")


def capacity_page(args):
    """Write the page below the directory that this runs in."""
    PAGE.write_text(page.render(data.read()))
    print(f"wrote {PAGE}")
    return os.EX_OK
