"""Which pages have made tables, and where in the page they stand."""

import re

from anvilwell_daemon.config import settings
from anvilwell_daemon.reference import metrics
from anvilwell_daemon.reference import schemas
from anvilwell_kernel.documents import document

# Functions that make the lines between the markers of each page.
PAGES = {
    "user-guide/settings.md": lambda: schemas.lines(settings.Settings),
    "user-guide/documents.md": lambda: schemas.lines(document.Document),
    "user-guide/metrics.md": metrics.lines,
}
BEGIN = "<!-- made from the code: make docs -->"
END = "<!-- end -->"
_BLOCK = re.compile(f"{BEGIN}.*?{END}", re.DOTALL)


def refresh(name, text):
    """Return `text`, the page called `name`, with its table made anew.

    Raises
    ------
    ValueError
        If the page has not exactly one place for the table.
    """
    block = "\n".join([BEGIN, "", *PAGES[name](), "", END])
    refreshed, count = _BLOCK.subn(lambda _: block, text)
    if count != 1:
        raise ValueError(f"{name}: {count} places for the table, expected 1")
    return refreshed
