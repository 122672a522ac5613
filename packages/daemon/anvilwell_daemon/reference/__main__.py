"""Writes the tables: ``python -m anvilwell_daemon.reference DOCS``."""

import os
import pathlib

from absl import app

from anvilwell_daemon.reference import pages


def main(argv):
    """Bring the pages in the folder that `argv` names up to date."""
    if len(argv) != 2:
        raise app.UsageError("expected the docs folder", os.EX_USAGE)
    folder = pathlib.Path(argv[1])
    for name in pages.PAGES:
        path = folder / name
        path.write_text(pages.refresh(name, path.read_text()))


if __name__ == "__main__":
    app.run(main)
