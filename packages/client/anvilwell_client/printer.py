"""Prints results as text or JSON."""

import enum
import itertools
import json


class Format(enum.StrEnum):
    """Output format."""

    TEXT = "text"
    JSON = "json"


def show(options, result, lines):
    """Print `result` as JSON or `lines` as text, by ``--output``."""
    if options.output == Format.JSON:
        print(json.dumps(result, indent=2))
    else:
        print("\n".join(lines))


def table(heads, rows):
    """Return the lines of a table with aligned columns."""
    texts = [heads, *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    ]


def rows_of(items, keys):
    """Return one row for each dict in `items`: its values of `keys`."""
    return [[item[key] for key in keys] for item in items]


def listing(items, keys):
    """Return the lines of a table of `items` with columns `keys`."""
    return table(list(keys), rows_of(items, keys)) if items else ["none"]


def paragraphs(*blocks):
    """Return the lines of `blocks` with an empty line between them."""
    spaced = itertools.chain.from_iterable(("", *block) for block in blocks)
    return list(spaced)[1:]
